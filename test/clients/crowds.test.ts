import * as uvu from 'uvu';
import * as builtCheckout from '../platform/built-checkout';
import * as crowdSite from './crowd-site';
import * as crowds from './crowds';

const suite = uvu.suite('clients that nobody controls');

const checkout = new builtCheckout.BuiltCheckout();

suite.before(() => checkout.build());

suite.after(() => checkout.remove());

/** Limits of the VM, and how many connections each crowd opens. */
const VM = { memoryMegabytes: 120, descriptors: 500 };

const CONNECTIONS = 60;

// Guards against limits that a caller inside the documented ones meets while nothing else is served.
suite('the largest body in calm', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: 0, parts: () => [], reads: true },
    bodyBytes: crowds.MAXIMUM_BODY_BYTES,
  }),
);

// Guards against bodies that are each inside the limit and fill the memory together.
suite('chunked bodies in large chunks that stop short of their end', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.largeChunks, reads: true },
  }),
);

// Guards against bodies whose chunks take up far more memory than their bytes.
suite('chunked bodies in chunks of one byte that stay open', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.smallChunks, reads: true },
  }),
);

// Guards against the same as large chunks, if only bodies without a length are limited.
suite('announced bodies that stop short of their end', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.announcedBody, reads: true },
  }),
);

// Guards against bodies that fill the memory before each of them exceeds its limit.
suite('bodies far over the limit, announced or not', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.endlessBody, reads: true },
  }),
);

// Guards against requests, and answers that nobody reads, without a limit on one connection or on all of them.
suite('requests that are sent ahead, with their answers unread', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.requestsAhead, reads: false },
  }),
);

// Guards against connections without a request that take up all descriptors, so that no server can be reached.
suite('more connections with unfinished heads than there are descriptors', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: 800, parts: crowds.unfinishedHead, reads: true },
  }),
);

// Guards against answers that are read on from their servers while their callers read nothing.
suite('callers that read nothing of a large answer', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.largeAnswer, reads: false },
    behaviour: crowds.answerLarge,
  }),
);

// Guards against a refusal in calm that a repeated request hides.
suite('the largest body in calm, at the first attempt', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: 0, parts: () => [], reads: true },
    bodyBytes: crowds.MAXIMUM_BODY_BYTES,
    attempts: 1,
  }),
);

// Guards against a process that takes itself for short of memory without any load.
suite('the largest body in calm on the smallest VM, at the first attempt', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    memoryMegabytes: 88,
    crowd: { connections: 0, parts: () => [], reads: true },
    bodyBytes: crowds.MAXIMUM_BODY_BYTES,
    attempts: 1,
  }),
);

// Guards against chunks of waiting bodies that Node.js keeps outside the account.
suite('bodies in chunks of one byte behind requests that are being answered', () =>
  crowdSite.withstand(checkout, {
    ...VM,
    crowd: { connections: CONNECTIONS, parts: crowds.waitingBody, reads: true },
    behaviour: crowds.answerSlowly,
  }),
);

suite.run();
