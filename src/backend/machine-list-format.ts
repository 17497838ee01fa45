import * as net from 'node:net';
import * as results from 'ts-results';
import * as zod from 'zod';
import * as verdict from '../verdict';
import * as machine from './machine';

/**
 * Parses the platform's list, `{"machines":[...]}`. One malformed record or a duplicate id rejects the
 * whole list: in a partially parsed list the other servers would seem to have been removed.
 *
 * @example
 * parseMachineList('{"machines":[]}').val; // []
 */
export function parseMachineList(
  text: string,
): results.Result<readonly machine.MachineRecord[], verdict.RequestFailure> {
  try {
    return results.Ok(listSchema.parse(JSON.parse(text)).machines);
  } catch {
    return results.Err(
      verdict.failure(
        verdict.FailureReason.BackendError,
        verdict.Verdict.Ran,
        "The platform's list of VMs is malformed.",
      ),
    );
  }
}

const recordSchema = zod.object({
  id: zod.string().min(1).max(128),
  host: zod.string().refine((host) => net.isIP(host) !== 0),
  port: zod.int().min(1).max(65_535),
  zone: zod.string().min(1),
  region: zod.string().min(1),
  service: zod.string().min(1),
  kind: zod.enum(machine.BackendKind),
  phase: zod.enum(machine.MachinePhase),
});

const listSchema = zod.object({
  machines: zod
    .array(recordSchema)
    .refine((records) => new Set(records.map((record) => record.id)).size === records.length),
});
