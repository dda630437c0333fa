/**
 * The faults that a soak injects into a site. Each lasts for a while, may overlap others, and is then removed.
 */
import * as random from '../base/common/random.js';
import * as linkProxy from './linkProxy.js';
import type * as soakSite from './soakSite.js';

/** What a fault acts on. */
export interface FaultContext {
  readonly site: soakSite.SoakSite;
  readonly random: random.Random;
  /** Revokes the next API key that may be revoked. */
  readonly revokeKey: () => Promise<void>;
  readonly reconfigure: () => Promise<void>;
}

/** An injected fault. */
export interface ActiveFault {
  /** The kind of fault and its target, for the report. */
  readonly what: string;
  /** Processes whose calls it may cut; planned stops list none. */
  readonly affects: readonly string[];
  readonly end: () => void;
}

/** A kind of fault. */
export type Fault = (scene: FaultContext) => ActiveFault;

const NO_END = (): void => undefined;

const pick = <T>(scene: FaultContext, items: readonly T[]): T => random.pick(scene.random, items);

const allNodes = ({ site }: FaultContext): readonly soakSite.SoakNode[] => [
  ...site.entries,
  ...site.schedulers,
  ...site.schedulers,
  ...site.agents,
];

const activeFault = (what: string, end = NO_END, affects: readonly string[] = []): ActiveFault => ({
  what,
  affects,
  end,
});

const onNode = (
  name: string,
  begin: (node: soakSite.SoakNode, scene: FaultContext) => () => void,
): Fault => {
  const fault: Fault = (scene) => {
    const node = pick(scene, allNodes(scene));
    const end = begin(node, scene);
    return activeFault(`${name} ${node.process.name}`, end, [node.process.name]);
  };
  return fault;
};

const onLink = (what: linkProxy.LinkFault): Fault =>
  onNode(`link ${what}`, (node, scene) => {
    const link = pick(scene, node.lines);
    link.setFault(what);
    return () => {
      link.setFault(linkProxy.LinkFault.none);
      // Connections that lost bytes stay stalled; neither end is notified.
    };
  });

const onWorker = (
  name: string,
  begin: (
    worker: soakSite.SoakSite['workers'][number],
    scene: FaultContext,
  ) => (() => void) | undefined,
): Fault => {
  const fault: Fault = (scene) => {
    const worker = pick(scene, scene.site.workers);
    const { workerId } = worker.info();
    const end = begin(worker, scene);
    return activeFault(`worker ${name} ${workerId}`, end);
  };
  return fault;
};

/** All entries share the store, so a store fault may affect each of them. */
const onStore = (name: string, begin: (scene: FaultContext) => () => void): Fault => {
  const fault: Fault = (scene) => {
    const end = begin(scene);
    const entryNames = scene.site.entries.map((it) => it.process.name);
    return activeFault(`store ${name}`, end, entryNames);
  };
  return fault;
};

/** Longest downtime of a process after a power loss. */
const MAX_DOWNTIME_MS = 4000;

/** How long a draining worker keeps running. */
const DRAIN_MS = 2500;

/** Every kind of fault. */
export const FAULTS: readonly Fault[] = [
  onLink(linkProxy.LinkFault.delay),
  onLink(linkProxy.LinkFault.refuse),
  onLink(linkProxy.LinkFault.silence),
  onLink(linkProxy.LinkFault.cutRequests),
  onLink(linkProxy.LinkFault.cutAnswers),
  onNode('reset', (node) => {
    node.lines.forEach((it) => it.reset());
    return NO_END;
  }),
  onNode('stall connections', (node) => {
    node.lines.forEach((it) => it.stallOpen());
    return NO_END;
  }),
  onNode('kill', (node) => {
    node.process.kill(0);
    return NO_END;
  }),
  onNode('power loss', (node, scene) => {
    node.process.kill(scene.random() * MAX_DOWNTIME_MS);
    return NO_END;
  }),
  onNode('pause', (node) => {
    node.process.signal('SIGSTOP');
    return () => node.process.signal('SIGCONT');
  }),
  onNode('clock step', (node) => {
    node.process.signal('SIGUSR2');
    return () => node.process.signal('SIGUSR2');
  }),
  onNode('refused by the store', (node) => {
    node.isStoreDenied = true;
    return () => {
      node.isStoreDenied = false;
    };
  }),
  (scene) => {
    const node = pick(scene, allNodes(scene));
    node.process.terminate();
    return activeFault(`stop ${node.process.name}`);
  },
  (scene) => {
    const node = pick(scene, allNodes(scene));
    node.process.signal('SIGHUP');
    return activeFault(`reload ${node.process.name}`);
  },
  (scene) => {
    for (const node of scene.site.schedulers) node.process.kill(0);
    return activeFault('kill all schedulers');
  },
  onStore('down', ({ site }) => {
    site.store.faults.isDown = true;
    return () => {
      site.store.faults.isDown = false;
    };
  }),
  onStore('slow', ({ site }) => {
    site.store.faults.delayMs = 240;
    return () => {
      site.store.faults.delayMs = 0;
    };
  }),
  onStore('loses write responses', ({ site }) => {
    site.store.faults.loseWriteAnswers += 3;
    return NO_END;
  }),
  onStore('applies writes late', ({ site }) => {
    site.store.faults.delayTransactions += 2;
    return NO_END;
  }),
  onStore('forgets history', ({ site }) => {
    site.store.faults.skipNextWatch = true;
    return NO_END;
  }),
  onWorker('crash', (worker) => {
    worker.crash();
    return undefined;
  }),
  onWorker('crash with a new id', (worker, scene) => {
    worker.crash(`w-${Math.floor(scene.random() * 1e9)}`);
    return undefined;
  }),
  onWorker('late orders', (worker) => {
    worker.faults.delayOrders += 3;
    return undefined;
  }),
  onWorker('silent', (worker) => {
    worker.faults.isSilent = true;
    return () => {
      worker.faults.isSilent = false;
    };
  }),
  onWorker('fails all', (worker) => {
    worker.faults.failsAll = true;
    return () => {
      worker.faults.failsAll = false;
    };
  }),
  onWorker('drain', (worker, scene) => {
    const { workerId } = worker.info();
    worker.drain(DRAIN_MS);
    setTimeout(() => {
      if (worker.info().workerId === workerId) {
        worker.crash(`w-${Math.floor(scene.random() * 1e9)}`);
      }
    }, DRAIN_MS).unref();
    return undefined;
  }),
  (scene) => {
    void scene.reconfigure();
    return activeFault('configuration');
  },
  (scene) => {
    void scene.revokeKey();
    return activeFault('key revoked');
  },
];
