/** Messages between routers: schemas that both sides validate, and their types. */
import type { ConfigurationAnnouncement, ConfigurationSection } from '@sequoiarill/types';
import * as Zod from 'zod';

import type { PeerRecord } from './peerRecord';

/** Limits on the size of one message, well above the target size of 570 routers. */
const MAX_NAME_LENGTH = 128;
const MAX_ZONES = 256;
const MAX_RECORDS = 4_096;
const MAX_ROSTER_ENTRIES = 1_024;
const MAX_FACTS = 4_096;

const nameSchema = Zod.string().min(1).max(MAX_NAME_LENGTH);
const counterSchema = Zod.number().int().min(0);

const recordSchema: Zod.ZodType<PeerRecord> = Zod.strictObject({
  name: nameSchema,
  zone: nameSchema,
  region: nameSchema,
  address: nameSchema,
  incarnation: counterSchema,
  state: Zod.enum(['alive', 'leaving', 'dead']),
});

const announcementSchema: Zod.ZodType<ConfigurationAnnouncement> = Zod.strictObject({
  readerFence: counterSchema,
  readerBeat: counterSchema,
  revision: counterSchema,
});

/**
 * Target, version, code of the state, age in tenths of a second, running and waiting. A tuple,
 * because facts make up nine tenths of the traffic between routers; only `factCodec` uses this
 * form.
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
  /** Index in the roster, which is the same on both sides. */
  observer: Zod.number().int().min(0).max(MAX_ROSTER_ENTRIES),
  facts: Zod.array(encodedFactSchema).max(MAX_FACTS),
});
export type ObserverFacts = Readonly<Zod.infer<typeof observerFactsSchema>>;

const versionsSchema = Zod.array(counterSchema).max(MAX_ROSTER_ENTRIES);

export const exchangeInputSchema = Zod.strictObject({
  from: nameSchema,
  /** Digest of the records of all routers that the sender knows. */
  peersHash: nameSchema,
  configuration: announcementSchema,
  /** Used only between routers of one zone. */
  targets: Zod.strictObject({
    rosterHash: nameSchema,
    versions: versionsSchema,
    news: Zod.array(observerFactsSchema).max(MAX_ROSTER_ENTRIES),
  }).optional(),
});
export type ExchangeInput = Readonly<Zod.infer<typeof exchangeInputSchema>>;

export const exchangeOutputSchema = Zod.strictObject({
  from: nameSchema,
  peersHash: nameSchema,
  configuration: announcementSchema,
  /** Digests by zone, if the two routers have different records. */
  zoneHashes: Zod.record(nameSchema, nameSchema).optional(),
  /** Present only within a zone and if both sides have the same roster. */
  targets: Zod.strictObject({
    versions: versionsSchema,
    observers: Zod.array(observerFactsSchema).max(MAX_ROSTER_ENTRIES),
  }).optional(),
});
export type ExchangeOutput = Readonly<Zod.infer<typeof exchangeOutputSchema>>;

/** All records of the zones in which two routers differ; both sides merge what they receive. */
export const peersSchema = Zod.strictObject({
  from: nameSchema,
  zones: Zod.array(nameSchema).max(MAX_ZONES),
  records: Zod.array(recordSchema).max(MAX_RECORDS),
});
export type PeersMessage = Readonly<Zod.infer<typeof peersSchema>>;

export const sectionsInputSchema = Zod.strictObject({
  /** Requests the sections above this revision, the oldest first. */
  after: counterSchema,
});
export type SectionsInput = Readonly<Zod.infer<typeof sectionsInputSchema>>;

const sectionSchema: Zod.ZodType<ConfigurationSection> = Zod.strictObject({
  name: Zod.string(),
  revision: counterSchema,
  text: Zod.string(),
});

export const sectionsOutputSchema = Zod.strictObject({
  configuration: announcementSchema,
  sections: Zod.array(sectionSchema),
  /** False if more sections follow; the next request starts after the last section's revision. */
  isComplete: Zod.boolean(),
});
export type SectionsOutput = Readonly<Zod.infer<typeof sectionsOutputSchema>>;

export const pingInputSchema = Zod.strictObject({ from: nameSchema });
export type PingInput = Readonly<Zod.infer<typeof pingInputSchema>>;

export const pingOutputSchema = Zod.strictObject({ name: nameSchema });
export type PingOutput = Readonly<Zod.infer<typeof pingOutputSchema>>;

/** Names a router instead of an address, so that a sender cannot make a router call any address. */
export const probeInputSchema = Zod.strictObject({ name: nameSchema });
export type ProbeInput = Readonly<Zod.infer<typeof probeInputSchema>>;

export const probeOutputSchema = Zod.strictObject({ isReachable: Zod.boolean() });
export type ProbeOutput = Readonly<Zod.infer<typeof probeOutputSchema>>;

/** Input and output of each procedure. */
export interface PeerProcedures {
  readonly exchange: { readonly input: ExchangeInput; readonly output: ExchangeOutput };
  readonly mergePeers: { readonly input: PeersMessage; readonly output: PeersMessage };
  readonly listSections: { readonly input: SectionsInput; readonly output: SectionsOutput };
  readonly ping: { readonly input: PingInput; readonly output: PingOutput };
  readonly probe: { readonly input: ProbeInput; readonly output: ProbeOutput };
}

export type ProcedureName = keyof PeerProcedures;

/** A call that a task yields; the runner of the task makes it. */
export type PeerCall = {
  readonly [Name in ProcedureName]: {
    readonly procedure: Name;
    readonly address: string;
    readonly input: PeerProcedures[Name]['input'];
  };
}[ProcedureName];

export interface PeerCallResponse {
  readonly kind: 'answered';
  readonly output: PeerProcedures[ProcedureName]['output'];
}

export interface PeerCallFailure {
  readonly kind: 'failed';
  readonly message: string;
}

export type PeerCallResult = PeerCallResponse | PeerCallFailure;

/** A task that calls peers, as a generator: the same code runs on sockets and in simulated time. */
export type PeerTask<Outcome> = Generator<PeerCall, Outcome, PeerCallResult>;
