/**
 * What a soak does to a site: each fault begins, lasts a while beside others, and is taken back.
 */
import * as random from '../base/common/random.js';
import * as lineProxy from './lineProxy.js';
import type * as soakSite from './soakSite.js';

/** What a fault works on. */
export interface FaultScene {
  readonly site: soakSite.SoakSite;
  readonly random: random.Random;
  /** Keys that may be taken away, the next one first. */
  readonly takeKeyAway: () => Promise<void>;
  readonly reconfigure: () => Promise<void>;
}

/** A fault that has begun. */
export interface BegunFault {
  /** What it does to whom, for the report. */
  readonly what: string;
  /** Names of the entries that it may reach; planned stops reach none. */
  readonly disturbs: readonly string[];
  readonly end: () => void;
}

/** A kind of fault. */
export type Fault = (scene: FaultScene) => BegunFault;

const NOTHING = (): void => undefined;

const pick = <T>(scene: FaultScene, items: readonly T[]): T => random.pick(scene.random, items);

const allNodes = ({ site }: FaultScene): readonly soakSite.SoakNode[] => [
  ...site.entries,
  ...site.schedulers,
  ...site.schedulers,
  ...site.agents,
];

const begun = (what: string, end = NOTHING, disturbs: readonly string[] = []): BegunFault => ({
  what,
  disturbs,
  end,
});

const onNode = (
  name: string,
  begin: (node: soakSite.SoakNode, scene: FaultScene) => () => void,
): Fault => {
  const fault: Fault = (scene) => {
    const node = pick(scene, allNodes(scene));
    const end = begin(node, scene);
    return begun(`${name} ${node.process.name}`, end, [node.process.name]);
  };
  return fault;
};

const onLine = (what: lineProxy.LineFault): Fault =>
  onNode(`line ${what}`, (node, scene) => {
    const line = pick(scene, node.lines);
    line.setFault(what);
    return () => {
      line.setFault(lineProxy.LineFault.none);
      // What was lost leaves its connection silent for good; nobody is told.
    };
  });

const onWorker = (
  name: string,
  begin: (
    worker: soakSite.SoakSite['workers'][number],
    scene: FaultScene,
  ) => (() => void) | undefined,
): Fault => {
  const fault: Fault = (scene) => {
    const worker = pick(scene, scene.site.workers);
    const { workerId } = worker.info();
    const end = begin(worker, scene);
    return begun(`worker ${name} ${workerId}`, end);
  };
  return fault;
};

/** All entries share the store: trouble there may reach each of them. */
const onStore = (name: string, begin: (scene: FaultScene) => () => void): Fault => {
  const fault: Fault = (scene) => {
    const end = begin(scene);
    const everybody = scene.site.entries.map((it) => it.process.name);
    return begun(`store ${name}`, end, everybody);
  };
  return fault;
};

/** Longest time away of a process that lost its power. */
const MAX_AWAY_MS = 4000;

/** A worker that leaves goes on this long. */
const DRAIN_MS = 2500;

/** Every kind of fault. */
export const FAULTS: readonly Fault[] = [
  onLine(lineProxy.LineFault.delay),
  onLine(lineProxy.LineFault.refuse),
  onLine(lineProxy.LineFault.silence),
  onLine(lineProxy.LineFault.cutRequests),
  onLine(lineProxy.LineFault.cutAnswers),
  onNode('reset', (node) => {
    node.lines.forEach((it) => it.reset());
    return NOTHING;
  }),
  onNode('silent connections', (node) => {
    node.lines.forEach((it) => it.silenceOpen());
    return NOTHING;
  }),
  onNode('kill', (node) => {
    node.process.kill(0);
    return NOTHING;
  }),
  onNode('power', (node, scene) => {
    node.process.kill(scene.random() * MAX_AWAY_MS);
    return NOTHING;
  }),
  onNode('pause', (node) => {
    node.process.signal('SIGSTOP');
    return () => node.process.signal('SIGCONT');
  }),
  onNode('clock step', (node) => {
    node.process.signal('SIGUSR2');
    return () => node.process.signal('SIGUSR2');
  }),
  onNode('turned away', (node) => {
    node.isTurnedAway = true;
    return () => {
      node.isTurnedAway = false;
    };
  }),
  (scene) => {
    const node = pick(scene, allNodes(scene));
    node.process.terminate();
    return begun(`stop ${node.process.name}`);
  },
  (scene) => {
    const node = pick(scene, allNodes(scene));
    node.process.signal('SIGHUP');
    return begun(`reload ${node.process.name}`);
  },
  (scene) => {
    for (const node of scene.site.schedulers) node.process.kill(0);
    return begun('kill all schedulers');
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
  onStore('loses answers', ({ site }) => {
    site.store.faults.loseWriteAnswers += 3;
    return NOTHING;
  }),
  onStore('writes late', ({ site }) => {
    site.store.faults.delayTransactions += 2;
    return NOTHING;
  }),
  onStore('forgets history', ({ site }) => {
    site.store.faults.skipNextWatch = true;
    return NOTHING;
  }),
  onWorker('crash', (worker) => {
    worker.crash();
    return undefined;
  }),
  onWorker('reborn', (worker, scene) => {
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
  onWorker('leaves', (worker, scene) => {
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
    return begun('configuration');
  },
  (scene) => {
    void scene.takeKeyAway();
    return begun('key taken away');
  },
];
