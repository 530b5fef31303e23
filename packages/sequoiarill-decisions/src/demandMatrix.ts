/**
 * Demand reported by other routers: one row of numbers for each router, one column for each
 * organisation.
 *
 * Maps of objects for thousands of organisations at tens of routers would exceed the memory that a
 * process has for control data.
 */

export interface DemandMatrix {
  readonly setDemand: (router: string, organisation: string, demand: number) => void;
  readonly getDemand: (router: string, organisation: string) => number;
  /** Sum over all routers. */
  readonly getTotal: (organisation: string) => number;
  readonly removeRouter: (router: string) => void;
  readonly listOrganisations: () => readonly string[];
}

const INITIAL_COLUMNS = 64;

export function createDemandMatrix(): DemandMatrix {
  /**
   * Columns are never removed: organisations come from the configuration, so they are few and
   * stable.
   */
  const columns = new Map<string, number>();
  const rows = new Map<string, Float32Array>();
  let totals = new Float64Array(INITIAL_COLUMNS);

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
    // Adds the rounded value from the row; otherwise 32-bit rounding errors would accumulate over
    // days.
    const previous = row[column] ?? 0;
    row[column] = demand;
    totals[column] = (totals[column] ?? 0) + (row[column] ?? 0) - previous;
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
