import * as nest from '@nestjs/common';
import type * as fastify from 'fastify';
import * as command from '../command';
import * as operatorContext from './operator-context';
import * as operatorGuard from './operator-guard';
import * as operatorPublish from './operator-publish';
import * as operatorReply from './operator-reply';
import * as operatorStatus from './operator-status';

/** The operator interface, as `src/command/operator-api.ts` describes it. */
@nest.Controller()
@nest.UseGuards(operatorGuard.OperatorGuard)
export class OperatorController {
  private readonly sources: operatorContext.OperatorSources;

  constructor(
    @nest.Inject(operatorContext.OperatorContext) context: operatorContext.OperatorContext,
  ) {
    this.sources = context.sources;
  }

  @nest.Get(command.OperatorPath.Status)
  status(): command.StatusResponse {
    return operatorStatus.statusResponse(this.sources);
  }

  @nest.Get(command.OperatorPath.Configuration)
  configuration(): command.ConfigurationResponse {
    return operatorStatus.configurationResponse(this.sources.plane.configuration());
  }

  @nest.Get(command.OperatorPath.Revisions)
  revisions(): command.RevisionsResponse {
    const { plane, peerAddress } = this.sources;
    return { daemons: operatorStatus.daemonRevisions(plane.status(), peerAddress) };
  }

  @nest.Get(command.OperatorPath.History)
  history(@nest.Query() query: unknown, @nest.Res() reply: fastify.FastifyReply): void {
    const parsed = command.historyQuerySchema.safeParse(query);
    const answer = parsed.success
      ? operatorReply.success({ entries: this.sources.history.recent(parsed.data.limit) })
      : operatorReply.failure(
          command.OperatorErrorCode.Invalid,
          'The query is malformed.',
          parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`),
        );
    reply.status(answer.status).send(answer.body);
  }

  @nest.Post(command.OperatorPath.Publish)
  async publish(
    @nest.Body() body: unknown,
    @nest.Res() reply: fastify.FastifyReply,
  ): Promise<void> {
    const text = Buffer.isBuffer(body) ? body.toString('utf8') : '';
    const { plane, time } = this.sources;
    const answer = await operatorPublish.publish(plane, time, text);
    reply.status(answer.status).send(answer.body);
  }
}
