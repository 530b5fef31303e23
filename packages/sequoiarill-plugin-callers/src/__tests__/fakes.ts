/** A router with the real callers' API and fakes for all else, on a port selected by the system. */
import * as Crypto from 'node:crypto';

import * as Kernel from '@sequoiarill/kernel';
import type {
  Configuration,
  GenerationOutcome,
  GenerationRequest,
  Organisation,
  OrderOutcome,
  OrderRequest,
  Plugin,
  TokenBatch,
} from '@sequoiarill/types';

import { plugin } from '../plugin';
import { settingsSchema } from '../settings';
import type { CallersSettings } from '../settings';

export const SHOP_KEY = 'sqr_k1_shop-secret';
export const DOORS_KEY = 'sqr_k2_doors-secret';

function createOrganisation(name: string, keyId: string, secret: string): Organisation {
  const salt = '0a'.repeat(16);
  const hash = Crypto.createHash('sha256')
    .update(Buffer.from(salt, 'hex'))
    .update(secret)
    .digest('hex');
  return {
    name,
    models: ['advisor'],
    services: name === 'shop' ? ['stock'] : [],
    keys: [{ id: keyId, salt, hash }],
    priority: 0,
    weight: 1,
    limits: { tokensPerSecond: 1_000, concurrentRequests: 100 },
    preference: 'resumeLatency',
  };
}

export function createConfiguration(): Configuration {
  const organisations = [
    createOrganisation('shop', 'k1', 'shop-secret'),
    createOrganisation('doors', 'k2', 'doors-secret'),
  ];
  const models = ['advisor', 'hidden'].map((name) => ({
    name,
    version: '1',
    contextTokens: 4_096,
    maxOutputTokens: 256,
  }));
  return {
    revision: 1,
    models: new Map(models.map((model) => [model.name, model])),
    organisations: new Map(organisations.map((one) => [one.name, one])),
    keysById: new Map(
      organisations.flatMap((organisation) =>
        organisation.keys.map((key) => [key.id, { organisation, key }] as const),
      ),
    ),
    services: new Map(),
    targets: new Map(),
  };
}

export type GenerationScript = (
  request: GenerationRequest,
) => AsyncGenerator<TokenBatch, GenerationOutcome, void>;

export function createBatch(text: string): TokenBatch {
  return { text, tokenCount: 1, generation: 1 };
}

export const COMPLETED: GenerationOutcome = {
  kind: 'completed',
  finishReason: 'stop',
  usage: { promptTokens: 7, completionTokens: 3 },
};

/** Creates a generation that yields the texts and ends with the outcome. */
export function createGenerationScript(
  texts: readonly string[],
  outcome: GenerationOutcome = COMPLETED,
): GenerationScript {
  return async function* runScript() {
    for (const text of texts) yield createBatch(text);
    return outcome;
  };
}

/** A generation whose tokens and outcome are sent by the test. */
export interface ControlledGeneration {
  readonly script: GenerationScript;
  readonly sendText: (text: string) => void;
  readonly finish: (outcome: GenerationOutcome) => void;
  /** Resolves when the generation stops early: by `return()` or its abort signal. */
  readonly stopped: Promise<void>;
  readonly getRequest: () => GenerationRequest | undefined;
}

export function createControlledGeneration(): ControlledGeneration {
  const queue: (TokenBatch | GenerationOutcome)[] = [];
  let resolveWait: () => void = () => undefined;
  let markStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    markStopped = resolve;
  });
  let receivedRequest: GenerationRequest | undefined;
  async function waitForItem(): Promise<void> {
    await new Promise<void>((resolve) => {
      resolveWait = resolve;
    });
  }
  function addItem(item: TokenBatch | GenerationOutcome): void {
    queue.push(item);
    resolveWait();
  }
  async function* runControlled(
    request: GenerationRequest,
  ): AsyncGenerator<TokenBatch, GenerationOutcome, void> {
    receivedRequest = request;
    let hasFinished = false;
    request.signal.addEventListener('abort', () => resolveWait());
    try {
      while (!request.signal.aborted) {
        const item = queue.shift();
        if (item === undefined) {
          await waitForItem();
        } else if ('kind' in item) {
          hasFinished = true;
          return item;
        } else yield item;
      }
      return { kind: 'cancelled', usage: { promptTokens: 7, completionTokens: 1 } };
    } finally {
      if (!hasFinished) markStopped();
    }
  }
  return {
    script: runControlled,
    sendText: (text) => addItem(createBatch(text)),
    finish: addItem,
    stopped,
    getRequest: () => receivedRequest,
  };
}

export interface Router {
  readonly url: string;
  readonly kernel: Kernel.Kernel;
  readonly getMetric: (name: string) => number;
  readonly setScript: (script: GenerationScript) => void;
  readonly setOrders: (runOrder: (order: OrderRequest) => Promise<OrderOutcome>) => void;
  readonly setConfiguration: (configuration: Configuration) => void;
  readonly stop: () => Promise<void>;
}

export async function startRouter(settings: Partial<CallersSettings> = {}): Promise<Router> {
  let script: GenerationScript = createGenerationScript(['Hello', ' wor', 'ld']);
  let configuration = createConfiguration();
  let runOrder = async (): Promise<OrderOutcome> => ({ kind: 'unknown', message: 'unset' });
  const fakes: Plugin = {
    name: 'fakes',
    settingsSchema,
    provides: ['configuration', 'generations', 'orders'],
    needs: [],
    events: [],
    createInstance: () => ({
      capabilities: {
        configuration: {
          getConfiguration: () => configuration,
          subscribeConfiguration: () => () => undefined,
        },
        generations: { runGeneration: (request) => script(request) },
        orders: {
          runOrder: (order) => (runOrder as (one: OrderRequest) => Promise<OrderOutcome>)(order),
        },
      },
      dumpState: () => ({}),
    }),
  };
  const callersSettings = { ...settingsSchema.parse({ listen: '127.0.0.1:0' }), ...settings };
  const kernel = Kernel.createKernel({
    settings: {
      process: { name: 'router-1', zone: 'z1', region: 'r1' },
      telemetry: { logLevel: 'silent' },
      plugins: new Map([['callers', callersSettings]]),
    },
    plugins: [fakes, plugin as Plugin],
  });
  await kernel.start();
  const dump = await kernel.dumpProcess();
  return {
    url: `http://${String(dump.plugins.callers?.address)}`,
    kernel,
    getMetric: () => 0,
    setScript(next) {
      script = next;
    },
    setOrders(next) {
      runOrder = next as typeof runOrder;
    },
    setConfiguration(next) {
      configuration = next;
    },
    stop: kernel.stop,
  };
}
