/**
 * What other routers reported, as numbers in rows: maps of objects for thousands of organisations at tens
 * of routers would take more memory than a process has for control.
 */

export interface DemandTable {
  readonly setDemand: (router: string, organisation: string, demand: number) => void;
  readonly getDemand: (router: string, organisation: string) => number;
  /** Of all routers. */
  readonly getTotal: (organisation: string) => number;
  readonly removeRouter: (router: string) => void;
  readonly listOrganisations: () => readonly string[];
}

const FIRST_SIZE = 64;

export function createDemandTable(): DemandTable {
  /** Columns are never given back: organisations are configured, so they are few and last. */
  const columns = new Map<string, number>();
  const rows = new Map<string, Float32Array>();
  let totals = new Float64Array(FIRST_SIZE);

  function addColumn(organisation: string): number {
    const column = columns.size;
    columns.set(organisation, column);
    if (column >= totals.length) {
      const grown = new Float64Array(totals.length * 2);
      grown.set(totals);
      totals = grown;
    }
    return column;
  }

  function getRow(router: string): Float32Array {
    const row = rows.get(router) ?? new Float32Array(totals.length);
    if (row.length >= totals.length) {
      rows.set(router, row);
      return row;
    }
    const grown = new Float32Array(totals.length);
    grown.set(row);
    rows.set(router, grown);
    return grown;
  }

  function setDemand(router: string, organisation: string, demand: number): void {
    const column = columns.get(organisation) ?? addColumn(organisation);
    const row = getRow(router);
    // The total takes what the row keeps, or roundings of 32-bit numbers would add up over days.
    const before = row[column] ?? 0;
    row[column] = demand;
    totals[column] = (totals[column] ?? 0) + (row[column] ?? 0) - before;
  }

  function getDemand(router: string, organisation: string): number {
    const column = columns.get(organisation);
    return column === undefined ? 0 : (rows.get(router)?.[column] ?? 0);
  }

  function getTotal(organisation: string): number {
    const column = columns.get(organisation);
    return column === undefined ? 0 : Math.max(0, totals[column] ?? 0);
  }

  function removeRouter(router: string): void {
    const row = rows.get(router);
    rows.delete(router);
    row?.forEach((demand, column) => {
      totals[column] = (totals[column] ?? 0) - demand;
    });
  }

  return {
    setDemand,
    getDemand,
    getTotal,
    removeRouter,
    listOrganisations: () => [...columns.keys()],
  };
}
