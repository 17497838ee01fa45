import * as control from '../../src/control';
import * as fakeControlPlane from '../support/fake-control-plane';

/** A control plane whose register the test sets. */
export class RegisterPlane extends fakeControlPlane.FakeControlPlane {
  current = control.EMPTY_REGISTER;

  override register(): control.Register {
    return this.current;
  }
}
