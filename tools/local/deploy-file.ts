import * as fs from 'node:fs';
import * as path from 'node:path';

/** Roles of the deploy file. */
export enum Role {
  Gateway = 'gateway',
  Control = 'control',
}

/**
 * Reads the program and arguments of a role from the deploy file of a repository.
 *
 * @param root root of the repository
 *
 * @example
 * commandOf(Role.Gateway); // 'node --max-old-space-size=90 target/platform/main.js gateway'
 */
export function commandOf(role: Role, root = '.'): string {
  const text = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
  const [, section = ''] = text.split(`[roles.${role}]`);
  const match = /^run = "(.*)"$/m.exec(section);
  if (match === null) {
    throw new Error(`deploy/system.toml has no line run = "..." below [roles.${role}]`);
  }
  return match[1];
}
