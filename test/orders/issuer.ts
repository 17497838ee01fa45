import * as orders from '../../src/orders';

const { OrderEffectKind, OrderEventKind } = orders;

/** Receives the effects of an issuer. */
export interface IssuerNetwork {
  readonly sendOrder: (issuer: Issuer, order: orders.SendOrder) => void;
  readonly readBack: (issuer: Issuer, serverId: string) => void;
}

/** One daemon with an order core, which may be paused, partitioned or unaware that it was replaced as leader. */
export class Issuer {
  state: orders.OrderState;

  leaseEndsAt = Number.NEGATIVE_INFINITY;

  isPaused = false;

  isPartitioned = false;

  /** Pauses between the decision to send the next order and the sending. */
  pausesBeforeSend = false;

  private pendingActions: (() => void)[] = [];

  constructor(
    parameters: orders.OrderParameters,
    private readonly network: IssuerNetwork,
  ) {
    this.state = orders.initialState(parameters);
  }

  get term(): number | undefined {
    return this.state.issuer?.term;
  }

  /** Handles an answer now, or once the process is no longer paused. */
  deliver(event: (at: number) => orders.OrderEvent, now: () => number): void {
    if (this.isPaused) {
      this.pendingActions.push(() => this.apply(event(now())));
    } else {
      this.apply(event(now()));
    }
  }

  tick(at: number): void {
    const { leaseEndsAt } = this;
    this.apply({ kind: OrderEventKind.Tick, at, leaseEndsAt });
  }

  resume(): void {
    this.isPaused = false;
    this.pausesBeforeSend = false;
    this.pendingActions.splice(0).forEach((action) => action());
  }

  apply(event: orders.OrderEvent): void {
    const step = orders.update(this.state, event);
    this.state = step.state;
    step.effects.forEach((effect) => this.execute(effect));
  }

  private execute(effect: orders.OrderEffect): void {
    if (effect.kind === OrderEffectKind.ReadBack) {
      this.network.readBack(this, effect.serverId);
    } else if (effect.kind === OrderEffectKind.SendOrder) {
      this.isPaused = this.isPaused || this.pausesBeforeSend;
      if (this.isPaused) {
        this.pendingActions.push(() => this.network.sendOrder(this, effect));
      } else {
        this.network.sendOrder(this, effect);
      }
    }
  }
}
