import * as immutable from 'immutable';
import type * as lane from './lane';

/** A request that waits for a slot. */
export interface QueueEntry {
  readonly requestId: string;
  readonly team: string;
  readonly lane: lane.Lane;
  readonly priority: number;
  /** Estimated time that the request will occupy a slot. */
  readonly costMilliseconds: number;
  /** Weight of the team in fair sharing. */
  readonly share: number;
  /** The server that was the best at the arrival; the request probably waits for it. */
  readonly target?: string;
}

interface TeamQueue {
  readonly entries: immutable.List<QueueEntry>;
  readonly backlogMilliseconds: number;
  readonly share: number;
}

type TeamQueues = immutable.Map<string, TeamQueue>;

/**
 * The requests that wait for one service. Within a lane, teams are served by start-time fair queueing:
 * the team that has received the least service for its share is next.
 */
export interface ServiceQueue {
  readonly lanes: immutable.Map<lane.Lane, TeamQueues>;
  /** Service received by each team, divided by its share. */
  readonly served: immutable.Map<string, number>;
  /** `served` of the team that was served last; a team that was idle continues from here. */
  readonly virtualTime: number;
}

export const EMPTY_QUEUE: ServiceQueue = {
  lanes: immutable.Map<lane.Lane, TeamQueues>(),
  served: immutable.Map<string, number>(),
  virtualTime: 0,
};

/** Adds a request behind those of its team and lane with the same or a higher priority. */
export function push(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) => {
    const position = entries.findIndex((other) => other.priority < entry.priority);
    return position < 0 ? entries.push(entry) : entries.insert(position, entry);
  });
}

/** Adds a request that was dispatched before to the front, since its time is already partly used up. */
export function pushFront(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) => entries.unshift(entry));
}

/** Removes a request; does nothing when it is not queued. */
export function remove(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) =>
    entries.filter((other) => other.requestId !== entry.requestId),
  );
}

/** Whether nothing waits in a lane. */
export function isEmpty(queue: ServiceQueue, which: lane.Lane): boolean {
  return queue.lanes.get(which)?.isEmpty() ?? true;
}

/**
 * The first requests of each team in a lane, the team with the least service for its share first. More
 * than one of a team, since the first may wait for a busy server while the next finds its own idle.
 *
 * @example
 * heads(queue, Lane.Short)[0]?.requestId;
 */
export function nextEntries(queue: ServiceQueue, which: lane.Lane): QueueEntry[] {
  const teams = queue.lanes.get(which);
  if (teams === undefined) {
    return [];
  }
  return [...teams.keys()]
    .sort(
      (left, right) => servedOf(queue, left) - servedOf(queue, right) || (left < right ? -1 : 1),
    )
    .flatMap((team) => teams.get(team)!.entries.take(HEADS_PER_TEAM).toArray());
}

/** Removes a request that is dispatched now, and counts its cost as service to its team. */
export function dequeue(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  const start = servedOf(queue, entry.team);
  return {
    ...remove(queue, entry),
    served: queue.served.set(entry.team, start + entry.costMilliseconds / entry.share),
    virtualTime: Math.max(queue.virtualTime, start),
  };
}

/**
 * How long a new request of a team would wait, if `slots` requests run at a time. Another team delays it
 * by no more than what that team may receive while this team's backlog is served.
 *
 * @example
 * expectedWait(queue, Lane.Short, 'depot', 1, 8); // 350
 */
export function expectedWait(
  queue: ServiceQueue,
  which: lane.Lane,
  team: string,
  share: number,
  slots: number,
): number {
  const teams = queue.lanes.get(which);
  if (teams === undefined) {
    return 0;
  }
  const ownRounds = (teams.get(team)?.backlogMilliseconds ?? 0) / share;
  const ahead = teams.reduce(
    (sum, other, name) =>
      sum + Math.min(other.backlogMilliseconds, other.share * (ownRounds + lag(queue, team, name))),
    0,
  );
  return ahead / Math.max(1, slots);
}

/** The service that `other` may receive for its share before `team` is next. */
function lag(queue: ServiceQueue, team: string, other: string): number {
  return Math.max(0, servedOf(queue, team) - servedOf(queue, other));
}

/** The estimated time that requests which wait for one server will occupy its slots. */
export function backlogFor(queue: ServiceQueue, target: string): number {
  let sum = 0;
  queue.lanes.forEach((teams) =>
    teams.forEach((team) =>
      team.entries.forEach((entry) => {
        sum += entry.target === target ? entry.costMilliseconds : 0;
      }),
    ),
  );
  return sum;
}

function servedOf(queue: ServiceQueue, team: string): number {
  return Math.max(queue.virtualTime - CREDIT_MILLISECONDS, queue.served.get(team, 0));
}

function changeTeam(
  queue: ServiceQueue,
  entry: QueueEntry,
  change: (entries: immutable.List<QueueEntry>) => immutable.List<QueueEntry>,
): ServiceQueue {
  const teams: TeamQueues = queue.lanes.get(entry.lane, immutable.Map<string, TeamQueue>());
  const before = teams.get(entry.team)?.entries ?? immutable.List<QueueEntry>();
  const entries = change(before);
  if (entries === before) {
    return queue;
  }
  const sizeChange = Math.sign(entries.size - before.size);
  const backlog = teams.get(entry.team)?.backlogMilliseconds ?? 0;
  const changed = entries.isEmpty()
    ? teams.delete(entry.team)
    : teams.set(entry.team, {
        entries,
        backlogMilliseconds: Math.max(0, backlog + sizeChange * entry.costMilliseconds),
        share: entry.share,
      });
  const lanes = changed.isEmpty()
    ? queue.lanes.delete(entry.lane)
    : queue.lanes.set(entry.lane, changed);
  return { ...queue, lanes };
}

const HEADS_PER_TEAM = 6;
/** Service that a team that asked for less than its share may catch up on; a few requests. */
const CREDIT_MILLISECONDS = 8_000;
