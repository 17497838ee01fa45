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
  /** The module with its controllers; the catch-all of plain services comes last. */
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
