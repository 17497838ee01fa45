import 'reflect-metadata';
import * as nest from '@nestjs/common';
import * as callerContext from './caller-context';
import * as completionsController from './completions-controller';
import * as healthController from './health-controller';
import * as readiness from './readiness';
import * as servicesController from './services-controller';

/** The Nest module behind the caller listener. */
@nest.Module({})
export class CallerModule {
  /** Creates the module; the catch-all route of plain services comes last, so that it hides no other route. */
  static with(context: callerContext.CallerContext): nest.DynamicModule {
    return {
      module: CallerModule,
      controllers: [
        healthController.HealthController,
        completionsController.CompletionsController,
        servicesController.ServicesController,
      ],
      providers: [
        { provide: callerContext.CallerContext, useValue: context },
        { provide: readiness.Readiness, useValue: context.readiness },
      ],
    };
  }
}
