import * as documents from '../../src/demo/example-documents';
import * as localCluster from '../../src/demo/local-cluster';

/** Runs `work` with a ready cluster of processes and ends all processes afterwards. */
export async function withCluster(
  plan: Partial<localCluster.ClusterOptions>,
  work: (cluster: localCluster.LocalCluster) => Promise<void>,
): Promise<void> {
  const engineOptions = { ...documents.ENGINE_OPTIONS, ...plan.engineOptions };
  const cluster = await localCluster.LocalCluster.start(
    { daemons: 3, engines: 2, services: 1, ...plan, engineOptions },
    { model: documents.MODEL_SERVICE.name, plain: documents.PLAIN_SERVICE.name },
  );
  try {
    await cluster.publish(documents.DOCUMENTS);
    await cluster.awaitReady();
    await work(cluster);
  } finally {
    await cluster.close();
  }
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Waits until a condition holds; throws after 20 s. */
export async function until(condition: () => Promise<boolean> | boolean): Promise<void> {
  for (let attempt = 0; attempt < 1_000; attempt += 1) {
    if (await condition()) {
      return;
    }
    await pause(20);
  }
  throw new Error('the awaited condition did not occur within 20 s');
}
