import 'reflect-metadata';
import * as nest from '@nestjs/common';
import * as healthController from './health-controller';
import * as operatorContext from './operator-context';
import * as operatorController from './operator-controller';
import * as readiness from './readiness';

/** The Nest module behind the operator listener. */
@nest.Module({})
export class OperatorModule {
  static with(sources: operatorContext.OperatorSources): nest.DynamicModule {
    const context = new operatorContext.OperatorContext(sources);
    return {
      module: OperatorModule,
      controllers: [healthController.HealthController, operatorController.OperatorController],
      providers: [
        { provide: operatorContext.OperatorContext, useValue: context },
        { provide: readiness.Readiness, useValue: sources.readiness },
      ],
    };
  }
}
