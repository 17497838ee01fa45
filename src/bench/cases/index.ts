import type * as benchCase from '../bench-case';
import * as crashingRequest from './crashing-request';
import * as fullIndex from './full-index';
import * as hotChange from './hot-change';
import * as loadSpike from './load-spike';
import * as routerRestart from './router-restart';
import * as shortBehindLong from './short-behind-long';
import * as steady from './steady';
import * as stragglers from './stragglers';

/** All scenarios of section 9 of the design page, and the comparison with a full index. */
export const CASES: readonly benchCase.BenchCase[] = [
  new steady.Steady(),
  new loadSpike.LoadSpike(),
  new shortBehindLong.ShortBehindLong(),
  new stragglers.Stragglers(),
  new hotChange.HotChange(),
  new routerRestart.RouterRestart(),
  new crashingRequest.CrashingRequest(),
  new fullIndex.FullIndex(),
];
