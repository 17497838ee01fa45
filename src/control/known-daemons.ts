/**
 * Addresses of daemons that this one may ask when it knows no control daemon any more: those that had links to it, and those
 * that control daemons have named. Addresses that were recorded lately are kept.
 */
export class KnownDaemons {
  private readonly addresses = new Set<string>();

  record(addresses: readonly string[]): void {
    addresses.forEach((address) => {
      this.addresses.delete(address);
      this.addresses.add(address);
    });
    [...this.addresses]
      .slice(0, Math.max(0, this.addresses.size - MAXIMUM_ADDRESSES))
      .forEach((address) => this.addresses.delete(address));
  }

  get all(): readonly string[] {
    return [...this.addresses];
  }
}

/** Several times the neighbours that are named at once, so that some are left after a part of the fleet was replaced. */
const MAXIMUM_ADDRESSES = 16;
