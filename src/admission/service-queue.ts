import * as immutable from 'immutable';
import type * as lane from './lane';

/** A request that waits for a slot. */
export interface QueueEntry {
  readonly requestId: string;
  readonly team: string;
  readonly lane: lane.Lane;
  /** Within a team, requests with a higher number are served first. */
  readonly priority: number;
  /** Estimated time for which the request will occupy a slot. */
  readonly costMilliseconds: number;
  /** Weight of the team in fair sharing. */
  readonly share: number;
  /** The cheapest server at the arrival, for which the request probably waits. */
  readonly target?: string;
}

interface TeamQueue {
  readonly entries: immutable.List<QueueEntry>;
  readonly backlogMilliseconds: number;
  readonly share: number;
}

type TeamQueues = immutable.Map<string, TeamQueue>;

/**
 * The requests that wait for one service. Within a lane, the queue serves teams by start-time fair queueing:
 * the team with the least received service in proportion to its share is next.
 */
export interface ServiceQueue {
  readonly lanes: immutable.Map<lane.Lane, TeamQueues>;
  /** Service received by each team, divided by its share. */
  readonly served: immutable.Map<string, number>;
  /** `served` of the last served team; a team without queued requests continues from here. */
  readonly virtualTime: number;
}

export const EMPTY_QUEUE: ServiceQueue = {
  lanes: immutable.Map<lane.Lane, TeamQueues>(),
  served: immutable.Map<string, number>(),
  virtualTime: 0,
};

/** Adds a request behind the requests of its team and lane with the same or a higher priority. */
export function push(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) => {
    const position = entries.findIndex((other) => other.priority < entry.priority);
    return position < 0 ? entries.push(entry) : entries.insert(position, entry);
  });
}

/** Adds a request that was dispatched before to the front, because part of its time is used up. */
export function pushFront(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) => entries.unshift(entry));
}

/** Removes a request; does nothing when it is not queued. */
export function remove(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  return changeTeam(queue, entry, (entries) =>
    entries.filter((other) => other.requestId !== entry.requestId),
  );
}

/** Whether no request waits in a lane. */
export function isEmpty(queue: ServiceQueue, selectedLane: lane.Lane): boolean {
  return queue.lanes.get(selectedLane)?.isEmpty() ?? true;
}

/**
 * The first requests of each team in a lane, the team with the least service for its share first. There are
 * several of each team, because the first may wait for a busy server while the server of the next is idle.
 *
 * @example
 * nextEntries(queue, Lane.Short)[0]?.requestId;
 */
export function nextEntries(queue: ServiceQueue, selectedLane: lane.Lane): QueueEntry[] {
  const teams = queue.lanes.get(selectedLane);
  if (teams === undefined) {
    return [];
  }
  return [...teams.keys()]
    .sort(
      (left, right) => servedOf(queue, left) - servedOf(queue, right) || (left < right ? -1 : 1),
    )
    .flatMap((team) => teams.get(team)!.entries.take(ENTRIES_PER_TEAM).toArray());
}

/** Removes a request that is dispatched now, and adds its cost to the service of its team. */
export function dequeue(queue: ServiceQueue, entry: QueueEntry): ServiceQueue {
  const start = servedOf(queue, entry.team);
  return {
    ...remove(queue, entry),
    served: queue.served.set(entry.team, start + entry.costMilliseconds / entry.share),
    virtualTime: Math.max(queue.virtualTime, start),
  };
}

/**
 * Milliseconds that a new request of a team would wait while `slots` requests run at a time. Another team
 * delays it by at most the service that it may receive while the queue serves this team's backlog.
 *
 * @example
 * expectedWait(queue, Lane.Short, 'depot', 1, 8); // 350
 */
export function expectedWait(
  queue: ServiceQueue,
  selectedLane: lane.Lane,
  team: string,
  share: number,
  slots: number,
): number {
  const teams = queue.lanes.get(selectedLane);
  if (teams === undefined) {
    return 0;
  }
  const normalizedBacklog = (teams.get(team)?.backlogMilliseconds ?? 0) / share;
  const ahead = teams.reduce(
    (sum, other, name) =>
      sum +
      Math.min(
        other.backlogMilliseconds,
        other.share * (normalizedBacklog + serviceGap(queue, team, name)),
      ),
    0,
  );
  return ahead / Math.max(1, slots);
}

/** Service, divided by its share, that `other` may receive before `team` is next. */
function serviceGap(queue: ServiceQueue, team: string, other: string): number {
  return Math.max(0, servedOf(queue, team) - servedOf(queue, other));
}

/** Estimated milliseconds for which the requests that wait for one server will occupy its slots. */
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
  return Math.max(queue.virtualTime - MAXIMUM_CATCH_UP_MILLISECONDS, queue.served.get(team, 0));
}

function changeTeam(
  queue: ServiceQueue,
  entry: QueueEntry,
  change: (entries: immutable.List<QueueEntry>) => immutable.List<QueueEntry>,
): ServiceQueue {
  const teams: TeamQueues = queue.lanes.get(entry.lane, immutable.Map<string, TeamQueue>());
  const previousEntries = teams.get(entry.team)?.entries ?? immutable.List<QueueEntry>();
  const entries = change(previousEntries);
  if (entries === previousEntries) {
    return queue;
  }
  const sizeChange = Math.sign(entries.size - previousEntries.size);
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

const ENTRIES_PER_TEAM = 6;
/** A team that asked for less than its share may catch up on this much service, a few requests. */
const MAXIMUM_CATCH_UP_MILLISECONDS = 8_000;
