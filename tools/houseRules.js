/**
 * Lint rules of this project that no published plugin provides: namespace imports only, doc comments
 * on modules and exports, and imports only from the same or lower layers.
 */
import * as path from 'node:path';

/** Layers from the lowest to the highest; a file may import from its own layer and lower ones. */
const LAYERS = [
  'base',
  'state',
  'coordination',
  'protocol',
  'transport',
  'platform',
  'standins',
  'programs',
  'dev',
  'soak',
  'bench',
  'cli',
  'bin',
];

/** Node modules allowed in `common/`: they access neither the network, the disk nor the clock. */
const PURE_NODE_MODULES = new Set(['node:assert', 'node:assert/strict', 'node:test']);

/** Packages that do I/O, which `common/` must not import. */
const IO_PACKAGES = /^(@trpc\/|@oclif\/|roarr|playwright-core)/;

const locationOf = (filename) => {
  const parts = filename.split(path.sep);
  const at = parts.lastIndexOf('src');
  const layer = at < 0 ? undefined : parts[at + 1];
  return { layer, isCommon: at >= 0 && parts.includes('common', at) };
};

const namespaceImports = {
  meta: {
    type: 'problem',
    messages: { namespace: 'Import the module as a namespace.' },
    schema: [],
  },
  create: (context) => ({
    ImportDeclaration: (node) => {
      const isNamespace = node.specifiers.every((it) => it.type === 'ImportNamespaceSpecifier');
      if (!isNamespace) context.report({ node, messageId: 'namespace' });
    },
  }),
};

const docOnExports = {
  meta: {
    type: 'problem',
    messages: { doc: 'Exported declarations need a doc comment.' },
    schema: [],
  },
  create: (context) => ({
    'Program > ExportNamedDeclaration': (node) => {
      if (!node.declaration) return;
      const comment = context.sourceCode.getCommentsBefore(node).at(-1);
      const isDoc = comment?.type === 'Block' && comment.value.startsWith('*');
      if (!isDoc) context.report({ node, messageId: 'doc' });
    },
  }),
};

const docOnModule = {
  meta: {
    type: 'problem',
    messages: { doc: 'A module must start with a doc comment.' },
    schema: [],
  },
  create: (context) => ({
    Program: (node) => {
      const first = context.sourceCode.getAllComments().find((it) => it.type !== 'Shebang');
      const isDoc = first?.type === 'Block' && first.value.startsWith('*');
      const isAtTop = first && first.range[0] <= (node.body[0]?.range[0] ?? 0);
      if (!isDoc || !isAtTop) context.report({ node, messageId: 'doc' });
    },
  }),
};

const layerOrder = {
  meta: {
    type: 'problem',
    messages: {
      up: "Layer '{{from}}' must not import the higher layer '{{to}}'.",
      io: "Code in common/ is pure and must not import '{{name}}'.",
    },
    schema: [],
  },
  create: (context) => ({
    ImportDeclaration: (node) => {
      const from = locationOf(context.filename);
      const name = node.source.value;
      if (!from.layer) return;
      if (!name.startsWith('.')) {
        const isIo =
          (name.startsWith('node:') && !PURE_NODE_MODULES.has(name)) || IO_PACKAGES.test(name);
        if (from.isCommon && isIo) context.report({ node, messageId: 'io', data: { name } });
        return;
      }
      const to = locationOf(path.resolve(path.dirname(context.filename), name));
      if (LAYERS.indexOf(to.layer) > LAYERS.indexOf(from.layer)) {
        context.report({ node, messageId: 'up', data: { from: from.layer, to: to.layer } });
      }
      const leavesCommon = from.isCommon && !to.isCommon && node.importKind !== 'type';
      if (leavesCommon) context.report({ node, messageId: 'io', data: { name } });
    },
  }),
};

export const houseRules = {
  rules: {
    'namespace-imports': namespaceImports,
    'doc-on-exports': docOnExports,
    'doc-on-module': docOnModule,
    'layer-order': layerOrder,
  },
};
