import 'reflect-metadata';
import * as nest from '@nestjs/common';
import * as callerRequestHandler from './caller-request-handler';
import * as gatewayController from './gateway-controller';

/** The Nest module behind the caller listener of a gateway. */
@nest.Module({})
export class GatewayModule {
  static with(callers: callerRequestHandler.CallerRequestHandler): nest.DynamicModule {
    return {
      module: GatewayModule,
      controllers: [gatewayController.GatewayController],
      providers: [{ provide: callerRequestHandler.CallerRequestHandler, useValue: callers }],
    };
  }
}
