import type * as net from 'node:net';
import type * as loopbackEnvironment from '../../tools/local/loopback-environment';
import * as replacedControl from '../platform/replaced-control';
import type * as cachedParts from './cached-parts';
import * as engineLink from './engine-link';
import type * as runJudge from './run-judge';
import * as soakDocument from './soak-document';
import * as soakEngine from './soak-engine';

/** An engine and the way to it. */
export interface FleetMember {
  readonly engine: soakEngine.SoakEngine;
  readonly link: engineLink.EngineLink;
}

/** How an engine restarts; times in milliseconds. */
export interface Restart {
  readonly downMilliseconds: number;
  /** How long neither the list nor the report need to name its model afterwards. */
  readonly unknownMilliseconds: number;
  readonly reportState: soakEngine.ReportState;
  /** Whether it runs requests in that time. */
  readonly isServing: boolean;
}

/** The engines of a soak, which restart, leave and are replaced. */
export class EngineFleet implements soakEngine.EngineObserver {
  members: readonly FleetMember[] = [];

  private readonly started: FleetMember[] = [];

  /** Engines whose model the list does not name. */
  private readonly unnamed = new Set<soakEngine.SoakEngine>();

  /**
   * @param publish replaces the simulated list
   * @param ownerOf the name of the process that has opened a connection
   */
  constructor(
    private readonly judge: runJudge.RunJudge,
    private readonly publish: (servers: readonly loopbackEnvironment.ListedServer[]) => void,
    private readonly ownerOf: (socket: net.Socket) => string | undefined,
  ) {}

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.add(1);
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.started.map(({ link }) => link.close()));
    await Promise.all(this.started.map(({ engine }) => engine.close()));
  }

  get entries(): readonly loopbackEnvironment.ListedServer[] {
    return this.members.map(({ engine, link }) => ({
      id: engine.id,
      service: soakDocument.SERVICE,
      addr: `127.0.0.1:${link.port}`,
      models: this.unnamed.has(engine)
        ? []
        : [{ name: soakEngine.MODEL, version: engine.weightsVersion }],
      state: engine.isLeaving ? ('draining' as const) : ('ready' as const),
      born: engine.born,
    }));
  }

  arrived(request: soakEngine.EngineRequest): void {
    this.judge.arrived(request);
  }

  began(run: soakEngine.EngineRun): void {
    this.judge.began(run);
  }

  partsAt(address: string): cachedParts.CachedParts | undefined {
    return this.started.find(({ link }) => address === `127.0.0.1:${link.port}`)?.engine.parts;
  }

  /** Ends an engine and starts it again under the same id. */
  async restart(member: FleetMember, restart: Restart): Promise<void> {
    const { engine, link } = member;
    link.isDown = true;
    link.reset();
    await replacedControl.pause(restart.downMilliseconds);
    engine.restart();
    engine.reportState = restart.reportState;
    engine.isRefusing = !restart.isServing;
    this.unnamed.add(engine);
    this.update();
    link.isDown = false;
    await replacedControl.pause(restart.unknownMilliseconds);
    engine.reportState = soakEngine.ReportState.Complete;
    engine.isRefusing = false;
    this.unnamed.delete(engine);
    this.update();
  }

  /** Lets an engine leave, and adds one with the newest weights. */
  async replace(member: FleetMember, drainMilliseconds: number): Promise<void> {
    const { engine, link } = member;
    engine.isLeaving = true;
    this.update();
    await replacedControl.pause(drainMilliseconds);
    this.members = this.members.filter((each) => each !== member);
    await this.add(Math.max(...this.started.map((each) => each.engine.weightsVersion)));
    await replacedControl.pause(LEFT_MILLISECONDS);
    link.isDown = true;
    link.reset();
  }

  /** Brings the list up to date with the weights of the engines. */
  update(): void {
    this.publish(this.entries);
  }

  private async add(weightsVersion: number): Promise<void> {
    const id = `i-${this.started.length + 1}`;
    const engine = new soakEngine.SoakEngine(id, weightsVersion, this);
    await engine.listen();
    const link = new engineLink.EngineLink(engine.port, this.ownerOf);
    await link.listen();
    const member = { engine, link };
    this.started.push(member);
    this.members = [...this.members, member];
    this.update();
  }
}

/** How long an engine still serves after it has left the list. */
const LEFT_MILLISECONDS = 1_000;
