import * as effects from './effect';
import type * as states from './state';

/** Creates the effect that reports a notice about the order of an engine. */
export function report(
  notice: effects.OrderNotice,
  engine: states.EngineState,
  order: states.PendingOrder,
): effects.Report {
  const { weightsVersion, fencingNumber } = order;
  const { serverId } = engine;
  return { kind: effects.OrderEffectKind.Report, notice, serverId, weightsVersion, fencingNumber };
}
