/**
 * Typed events with owned listeners.
 */
import type * as disposable from './disposable.js';

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => disposable.Disposable;

/** The publishing side of an event. */
export interface Emitter<T> extends disposable.Disposable {
  readonly event: Event<T>;
  readonly fire: (value: T) => void;
}

/**
 * @returns an emitter without listeners
 */
export const createEmitter = <T>(): Emitter<T> => {
  const listeners = new Set<(value: T) => void>();
  return {
    event: (listener) => {
      listeners.add(listener);
      return {
        dispose: () => {
          listeners.delete(listener);
        },
      };
    },
    fire: (value) => {
      for (const listener of [...listeners]) listener(value);
    },
    dispose: () => listeners.clear(),
  };
};
