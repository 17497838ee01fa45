import 'reflect-metadata';
import * as nest from '@nestjs/common';
import * as gatewayCallers from './gateway-callers';
import * as gatewayController from './gateway-controller';

/** The Nest module behind the caller listener of a gateway. */
@nest.Module({})
export class GatewayModule {
  static with(callers: gatewayCallers.GatewayCallers): nest.DynamicModule {
    return {
      module: GatewayModule,
      controllers: [gatewayController.GatewayController],
      providers: [{ provide: gatewayCallers.GatewayCallers, useValue: callers }],
    };
  }
}
