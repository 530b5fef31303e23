/** Messages between routers: schemas that both sides check, and their types. */
import type { ConfigurationAnnouncement, ConfigurationSection } from '@sequoiarill/types';
import * as Zod from 'zod';

import type { PeerRecord } from './peerRecord';

/** Bounds of what one message may hold, well above the target size of 570 routers. */
const MAX_NAME = 128;
const MAX_ZONES = 256;
const MAX_RECORDS = 4_096;
const MAX_ROSTER = 1_024;
const MAX_FACTS = 4_096;

const nameSchema = Zod.string().min(1).max(MAX_NAME);
const counterSchema = Zod.number().int().min(0);

const recordSchema: Zod.ZodType<PeerRecord> = Zod.strictObject({
  name: nameSchema,
  zone: nameSchema,
  region: nameSchema,
  address: nameSchema,
  incarnation: counterSchema,
  state: Zod.enum(['alive', 'leaving', 'dead']),
});

const newsSchema: Zod.ZodType<ConfigurationAnnouncement> = Zod.strictObject({
  readerFence: counterSchema,
  readerBeat: counterSchema,
  revision: counterSchema,
});

/**
 * Target, version, code of the state, age in tenths of a second, running and waiting. An array,
 * since these are nine tenths of what routers send; only the module `factCodec` sees this form.
 */
export const encodedFactSchema = Zod.tuple([
  nameSchema,
  counterSchema,
  Zod.number().int().min(0).max(3),
  counterSchema,
  Zod.number().int().min(-1),
  Zod.number().int().min(-1),
]);
export type EncodedFact = Readonly<Zod.infer<typeof encodedFactSchema>>;

const observerFactsSchema = Zod.strictObject({
  /** Place in the roster both sides share. */
  observer: Zod.number().int().min(0).max(MAX_ROSTER),
  facts: Zod.array(encodedFactSchema).max(MAX_FACTS),
});
export type ObserverFacts = Readonly<Zod.infer<typeof observerFactsSchema>>;

const versionsSchema = Zod.array(counterSchema).max(MAX_ROSTER);

export const exchangeInputSchema = Zod.strictObject({
  from: nameSchema,
  /** Digest of every router the sender knows. */
  peersHash: nameSchema,
  configuration: newsSchema,
  /** Only within a zone. */
  targets: Zod.strictObject({
    rosterHash: nameSchema,
    versions: versionsSchema,
    news: Zod.array(observerFactsSchema).max(MAX_ROSTER),
  }).optional(),
});
export type ExchangeInput = Readonly<Zod.infer<typeof exchangeInputSchema>>;

export const exchangeOutputSchema = Zod.strictObject({
  from: nameSchema,
  peersHash: nameSchema,
  configuration: newsSchema,
  /** Digests by zone, when the two know different routers. */
  zoneHashes: Zod.record(nameSchema, nameSchema).optional(),
  /** Only within a zone, and only when both sides have the same roster. */
  targets: Zod.strictObject({
    versions: versionsSchema,
    observers: Zod.array(observerFactsSchema).max(MAX_ROSTER),
  }).optional(),
});
export type ExchangeOutput = Readonly<Zod.infer<typeof exchangeOutputSchema>>;

/** Every record of the zones on which two routers differ; both sides merge what they get. */
export const peersSchema = Zod.strictObject({
  from: nameSchema,
  zones: Zod.array(nameSchema).max(MAX_ZONES),
  records: Zod.array(recordSchema).max(MAX_RECORDS),
});
export type PeersMessage = Readonly<Zod.infer<typeof peersSchema>>;

export const sectionsInputSchema = Zod.strictObject({
  /** Sections above this revision, the oldest first. */
  after: counterSchema,
});
export type SectionsInput = Readonly<Zod.infer<typeof sectionsInputSchema>>;

const sectionSchema: Zod.ZodType<ConfigurationSection> = Zod.strictObject({
  name: Zod.string(),
  revision: counterSchema,
  text: Zod.string(),
});

export const sectionsOutputSchema = Zod.strictObject({
  configuration: newsSchema,
  sections: Zod.array(sectionSchema),
  /** False when more is to be asked for, from the last section's revision on. */
  isComplete: Zod.boolean(),
});
export type SectionsOutput = Readonly<Zod.infer<typeof sectionsOutputSchema>>;

export const pingInputSchema = Zod.strictObject({ from: nameSchema });
export type PingInput = Readonly<Zod.infer<typeof pingInputSchema>>;

export const pingOutputSchema = Zod.strictObject({ name: nameSchema });
export type PingOutput = Readonly<Zod.infer<typeof pingOutputSchema>>;

/** By name, never by address: nobody can have a router call an address of his choice. */
export const probeInputSchema = Zod.strictObject({ name: nameSchema });
export type ProbeInput = Readonly<Zod.infer<typeof probeInputSchema>>;

export const probeOutputSchema = Zod.strictObject({ isReachable: Zod.boolean() });
export type ProbeOutput = Readonly<Zod.infer<typeof probeOutputSchema>>;

/** What is asked of a peer and what it answers, by procedure. */
export interface PeerProcedures {
  readonly exchange: { readonly input: ExchangeInput; readonly output: ExchangeOutput };
  readonly mergePeers: { readonly input: PeersMessage; readonly output: PeersMessage };
  readonly listSections: { readonly input: SectionsInput; readonly output: SectionsOutput };
  readonly ping: { readonly input: PingInput; readonly output: PingOutput };
  readonly probe: { readonly input: ProbeInput; readonly output: ProbeOutput };
}

export type ProcedureName = keyof PeerProcedures;

/** One call that a task wants made; whoever runs the task makes it. */
export type PeerCall = {
  readonly [Name in ProcedureName]: {
    readonly procedure: Name;
    readonly address: string;
    readonly input: PeerProcedures[Name]['input'];
  };
}[ProcedureName];

export interface PeerAnswered {
  readonly kind: 'answered';
  readonly output: PeerProcedures[ProcedureName]['output'];
}

export interface PeerFailed {
  readonly kind: 'failed';
  readonly message: string;
}

export type PeerAnswer = PeerAnswered | PeerFailed;

/** A task that calls peers, written straight down; sockets and virtual time run it alike. */
export type PeerTask<Outcome> = Generator<PeerCall, Outcome, PeerAnswer>;
