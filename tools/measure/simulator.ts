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
import * as simulatorMessage from './simulator-message';

const servers: scriptedServer.ScriptedServer[] = [];
let peers: peerGateways.PeerGateways | undefined;

async function startServers(deploymentPlan: plan.DeploymentPlan): Promise<string> {
  const total = deploymentPlan.engines + deploymentPlan.plainServers;
  for (let index = 0; index < total; index += 1) {
    const service = index < deploymentPlan.engines ? plan.ENGINE_SERVICE : plan.PLAIN_SERVICE;
    const zone = simulatorMessage.ZONES[index % simulatorMessage.ZONES.length];
    const server = new scriptedServer.ScriptedServer(
      simulatorMessage.serverIdOf(index),
      service,
      zone,
    );
    await server.listen();
    servers.push(server);
  }
  const vmList = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://list');
    response.end(JSON.stringify(vmListPage(Number(url.searchParams.get('page_token') ?? 0))));
  });
  await new Promise<void>((resolve) => {
    vmList.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(vmList.address() as net.AddressInfo).port}`;
}

function vmListPage(first: number): object {
  const next = first + ENTRIES_PER_PAGE;
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

async function startPeers(startRequest: simulatorMessage.StartPeers): Promise<void> {
  const { engines, peers: count } = startRequest.plan;
  const serverIds = Array.from({ length: engines }, (_unused, index) =>
    simulatorMessage.serverIdOf(index),
  );
  peers = new peerGateways.PeerGateways(
    serverIds,
    startRequest.replicas,
    startRequest.preSharedKey,
  );
  await peers.start(count);
}

async function answer(request: simulatorMessage.SimulatorRequest): Promise<unknown> {
  switch (request.kind) {
    case simulatorMessage.RequestKind.StartServers:
      return startServers(request.plan);
    case simulatorMessage.RequestKind.StartPeers:
      return startPeers(request);
    case simulatorMessage.RequestKind.SetBusy:
      return peers?.setBusy(request.isBusy);
    default:
      return new caller.Caller(request.address, request.teams, request.plan).run();
  }
}

const ENTRIES_PER_PAGE = 50;

// Above the duration of every measurement; the process exits by itself if its parent hangs.
const MAXIMUM_LIFETIME_MILLISECONDS = 1_800_000;

process.on('message', async (request: simulatorMessage.SimulatorRequest) => {
  process.send?.({ value: await answer(request) });
});
process.once('disconnect', () => process.exit(0));
setTimeout(() => process.exit(1), MAXIMUM_LIFETIME_MILLISECONDS).unref();
