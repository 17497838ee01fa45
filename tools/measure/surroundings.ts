/**
 * Process that simulates the environment of the measured daemons: the list of VMs, backend servers and callers, or
 * other gateways. A measurement starts it with `fork`.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as caller from './caller';
import * as peerGateways from './peer-gateways';
import * as plan from './plan';
import * as scriptedServer from './scripted-server';
import * as message from './surroundings-message';

const servers: scriptedServer.ScriptedServer[] = [];
let peers: peerGateways.PeerGateways | undefined;

async function startServers(wanted: plan.DeploymentPlan): Promise<string> {
  const total = wanted.engines + wanted.plainServers;
  for (let index = 0; index < total; index += 1) {
    const service = index < wanted.engines ? plan.ENGINE_SERVICE : plan.PLAIN_SERVICE;
    const zone = message.ZONES[index % message.ZONES.length];
    const server = new scriptedServer.ScriptedServer(message.serverIdOf(index), service, zone);
    await server.listen();
    servers.push(server);
  }
  const list = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://list');
    response.end(JSON.stringify(page(Number(url.searchParams.get('page_token') ?? 0))));
  });
  await new Promise<void>((resolve) => {
    list.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(list.address() as net.AddressInfo).port}`;
}

function page(first: number): object {
  const next = first + PAGE_ENTRIES;
  return {
    instances: servers.slice(first, next).map((server) => ({
      id: server.id,
      service: server.service,
      addr: server.address,
      zone: server.zone,
      version: 'v1',
      slots: 32,
      state: 'ready',
      models: server.isEngine ? [{ name: plan.MODEL, version: 1 }] : [],
      born: 1,
    })),
    next_page_token: next < servers.length ? String(next) : null,
  };
}

async function startPeers(wanted: message.StartPeers): Promise<void> {
  const { engines, peers: count } = wanted.plan;
  const serverIds = Array.from({ length: engines }, (_unused, index) => message.serverIdOf(index));
  peers = new peerGateways.PeerGateways(serverIds, wanted.replicas, wanted.preSharedKey);
  await peers.start(count);
}

async function answer(request: message.SurroundingsRequest): Promise<unknown> {
  switch (request.kind) {
    case message.RequestKind.StartServers:
      return startServers(request.plan);
    case message.RequestKind.StartPeers:
      return startPeers(request);
    case message.RequestKind.SetBusy:
      return peers?.setBusy(request.isBusy);
    default:
      return new caller.Caller(request.address, request.teams, request.plan).run();
  }
}

const PAGE_ENTRIES = 50;

// Above the duration of every measurement; the process exits by itself if its parent hangs.
const MAXIMUM_LIFE_MILLISECONDS = 1_800_000;

process.on('message', async (request: message.SurroundingsRequest) => {
  process.send?.({ value: await answer(request) });
});
process.once('disconnect', () => process.exit(0));
setTimeout(() => process.exit(1), MAXIMUM_LIFE_MILLISECONDS).unref();
