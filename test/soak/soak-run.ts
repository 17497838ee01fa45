import * as builtCheckout from '../platform/built-checkout';
import * as fakeBackendServer from '../platform/fake-backend-server';
import * as replacedControl from '../platform/replaced-control';
import * as engineSoak from './engine-soak';
import * as faultSoak from './fault-soak';

/** A build of the sources that several soaks use one after the other. */
export class SoakRun {
  private readonly checkout = new builtCheckout.BuiltCheckout();

  prepare(): void {
    this.checkout.build();
  }

  /** Plays one soak with processes and a backend server of its own. */
  async play(seed: number, seconds: number): Promise<faultSoak.SoakReport> {
    const server = new fakeBackendServer.FakeBackendServer('i-1', [
      (request, response) => {
        response.writeHead(200, fakeBackendServer.sealed(request));
        response.end('7');
      },
    ]);
    await server.listen();
    try {
      let report: faultSoak.SoakReport | undefined;
      await replacedControl.run(this.checkout, server, async (site) => {
        report = await new faultSoak.FaultSoak(site, server, seed).run(seconds);
      });
      return report!;
    } finally {
      await server.close();
    }
  }

  /** Plays one soak of gateways before engines, with processes of its own. */
  playEngines(seed: number, seconds: number): Promise<engineSoak.EngineSoakReport> {
    return new engineSoak.EngineSoak(this.checkout, seed).run(seconds);
  }

  close(): void {
    this.checkout.remove();
  }
}
