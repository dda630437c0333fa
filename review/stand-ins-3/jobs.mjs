/** The jobs that a script hands in, what their tasks need, and what the minions have left. */

export const createJobs = (record) => {
  const jobs = new Map();
  const partsOf = (task) => {
    const [id, occurrence, step, index] = task.split('.');
    return { id, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
  };
  const stepOf = (task) => {
    const { id, step } = partsOf(task);
    return jobs.get(id)?.steps[step];
  };
  const needOf = ({ cpu = 0, mem_mb: memory = 0, gpu = 0 }) => ({ cpu, mem_mb: memory, gpu });

  /** @returns how many more tasks of a step fit on the minions that are up, by what runs there */
  const roomFor = (site, step) => {
    const need = needOf(step);
    let room = 0;
    for (const { minion } of site.sides) {
      if (minion.isUp() && minion.mayTake(step)) {
        const free = { ...minion.capacity };
        for (const run of minion.live()) {
          const used = needOf(stepOf(run.task) ?? {});
          for (const name of Object.keys(free)) free[name] -= used[name];
        }
        const fits = Object.keys(need)
          .filter((name) => need[name] > 0)
          .map((name) => Math.max(0, Math.floor(free[name] / need[name])));
        room += Math.min(...fits, 1000);
      }
    }
    return room;
  };

  return {
    jobs,
    stepOf,
    roomFor,
    /** For the minions: how a task works. */
    workOf: (task) => {
      const { id } = partsOf(task);
      const job = jobs.get(id);
      const step = stepOf(task);
      return {
        workMs: 1000,
        gang: step?.gang === true ? step.count : 1,
        lasts: step?.long_running === true,
        saves: step?.checkpoint === true,
        ...job?.work,
      };
    },
    /** Hands a job in, as a client that retries four times; returns whether it was accepted. */
    submit: async (site, prefix, id, job, work = {}) => {
      jobs.set(id, { ...job, work });
      for (let attempt = 0; attempt < 5; attempt += 1) {
        const edge = site.edges[attempt % site.edges.length];
        const { status } = await site.call(edge, 'POST', prefix + id, { body: job });
        if (status >= 200 && status < 300) return true;
        if (status === 400 || status === 404) break;
        await new Promise((resolve) => setTimeout(resolve, 250));
      }
      record.write('notAccepted', { id });
      return false;
    },
  };
};
