import * as orders from '../../src/orders';

const { OrderEffectKind, OrderEventKind } = orders;

/** What an issuer's effects reach. */
export interface IssuerNetwork {
  readonly sendOrder: (issuer: Issuer, order: orders.SendOrder) => void;
  readonly readBack: (issuer: Issuer, serverId: string) => void;
}

/** One daemon with an order core, which may be frozen, cut off or unaware that it was replaced. */
export class Issuer {
  state: orders.OrderState;

  leaseEndsAt = Number.NEGATIVE_INFINITY;

  isFrozen = false;

  isCutOff = false;

  /** Freezes between the decision to send the next order and the sending. */
  freezesBeforeSend = false;

  private inbox: (() => void)[] = [];

  constructor(
    parameters: orders.OrderParameters,
    private readonly network: IssuerNetwork,
  ) {
    this.state = orders.initialState(parameters);
  }

  get term(): number | undefined {
    return this.state.issuer?.term;
  }

  /** Handles an answer now, or when the process goes on. */
  deliver(event: (at: number) => orders.OrderEvent, now: () => number): void {
    if (this.isFrozen) {
      this.inbox.push(() => this.apply(event(now())));
    } else {
      this.apply(event(now()));
    }
  }

  tick(at: number): void {
    const { leaseEndsAt } = this;
    this.apply({ kind: OrderEventKind.Tick, at, leaseEndsAt });
  }

  thaw(): void {
    this.isFrozen = false;
    this.freezesBeforeSend = false;
    this.inbox.splice(0).forEach((resume) => resume());
  }

  apply(event: orders.OrderEvent): void {
    const step = orders.update(this.state, event);
    this.state = step.state;
    step.effects.forEach((effect) => this.carryOut(effect));
  }

  private carryOut(effect: orders.OrderEffect): void {
    if (effect.kind === OrderEffectKind.ReadBack) {
      this.network.readBack(this, effect.serverId);
    } else if (effect.kind === OrderEffectKind.SendOrder) {
      this.isFrozen = this.isFrozen || this.freezesBeforeSend;
      if (this.isFrozen) {
        this.inbox.push(() => this.network.sendOrder(this, effect));
      } else {
        this.network.sendOrder(this, effect);
      }
    }
  }
}
