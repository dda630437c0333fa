/**
 * Ownership of resources that must be released: timers, servers, watches, subscriptions.
 */

/** A resource that its owner releases once. */
export interface Disposable {
  readonly dispose: () => void | Promise<void>;
}

/** Owns disposables and releases them in the reverse order of their registration. */
export interface DisposableStore extends Disposable {
  /** Takes ownership. An item added after disposal is released immediately. */
  readonly add: <T extends Disposable>(item: T) => T;
  readonly isDisposed: () => boolean;
  readonly dispose: () => Promise<void>;
}

/**
 * @returns an empty store, owned by the caller
 */
export const createDisposableStore = (): DisposableStore => {
  const items: Disposable[] = [];
  let isDisposed = false;
  return {
    add: (item) => {
      if (isDisposed) void item.dispose();
      else items.push(item);
      return item;
    },
    isDisposed: () => isDisposed,
    dispose: async () => {
      isDisposed = true;
      for (let item = items.pop(); item !== undefined; item = items.pop()) await item.dispose();
    },
  };
};
