import * as zod from 'zod';
import * as clock from '../clock';
import * as emulatedServer from './emulated-server';
import * as ledger from './ledger';
import * as plainServiceOptions from './plain-service-options';
import * as receivedRequest from './received-request';
import type * as wholeAnswer from './whole-answer';

/** Report with the number of executions by key. */
export interface PlainServiceReport extends emulatedServer.ServerReport {
  readonly executions: Readonly<Record<string, number>>;
}

/**
 * A plain service with a ledger: `POST /ledger/charges` and `POST /orders` are not idempotent,
 * `GET /ledger/balances/<account>` and `GET /orders/<id>` are.
 */
export class EmulatedPlainService extends emulatedServer.EmulatedServer {
  /** Not cleared by a crash, since a plain service stores its accounts in a database. */
  readonly ledger = new ledger.Ledger();

  private readonly options: plainServiceOptions.PlainServiceOptions;

  constructor(
    options: plainServiceOptions.PlainServiceOptionsInput = {},
    time: clock.Clock = new clock.SystemClock(),
  ) {
    super(time);
    this.options = plainServiceOptions.plainServiceOptionsSchema.parse(options);
  }

  override report(): PlainServiceReport {
    return { ...super.report(), executions: this.ledger.executionCounts() };
  }

  protected override async handle(
    request: receivedRequest.ReceivedRequest,
  ): Promise<wholeAnswer.WholeAnswer> {
    await this.time.sleep(this.options.serviceMilliseconds);
    if (request.method === 'GET' || request.method === 'HEAD') {
      return this.lookUp(request);
    }
    const key = receivedRequest.header(request, 'idempotency-key') || request.requestId;
    if (request.path === '/ledger/charges') {
      return this.charge(request, key);
    }
    this.ledger.count(key);
    return { status: 201, body: { path: request.path, requestId: request.requestId } };
  }

  private lookUp(request: receivedRequest.ReceivedRequest): wholeAnswer.WholeAnswer {
    const [, section, kind, account = ''] = request.path.split('/');
    if (section === 'ledger' && kind === 'balances') {
      return { status: 200, body: { account, balanceCents: this.ledger.balance(account) } };
    }
    return { status: 200, body: { path: request.path, requestId: request.requestId } };
  }

  private charge(request: receivedRequest.ReceivedRequest, key: string): wholeAnswer.WholeAnswer {
    const parsed = chargeSchema.safeParse(receivedRequest.json(request));
    if (!parsed.success) {
      return { status: 400, body: { error: { code: 'invalid_charge' } } };
    }
    const { account, amountCents } = parsed.data;
    return { status: 201, body: this.ledger.charge(key, account, amountCents) };
  }
}

const chargeSchema = zod.object({ account: zod.string().min(1), amountCents: zod.int() });
