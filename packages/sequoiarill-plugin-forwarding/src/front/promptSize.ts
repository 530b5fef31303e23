/** Reads how long a prompt and its output are from the headers of a request. */

export interface RequestSizes {
  /** 0 when the request does not state the number. */
  readonly promptTokens: number;
  /** Expected by the caller, else its maximum; 0 when the request states neither. */
  readonly outputTokens: number;
}

/** More than any engine's KV cache holds: a larger number is taken for a fault of the caller. */
const MAX_TOKENS = 10_000_000;

/** `promptSize`: prompt tokens, and the maximum of output tokens after a comma. */
export function decodeSizes(
  promptSize: string | undefined,
  outputHint: string | undefined,
): RequestSizes {
  const [prompt = '', maxOutput] = (promptSize ?? '').split(',');
  const promptTokens = Number.parseInt(prompt, 10);
  const isPlausible = promptTokens >= 0 && promptTokens <= MAX_TOKENS;
  return {
    promptTokens: isPlausible ? promptTokens : 0,
    outputTokens: parseOutput(outputHint) ?? parseOutput(maxOutput) ?? 0,
  };
}

/** Undefined unless the text is a plausible number of tokens. */
function parseOutput(text: string | undefined): number | undefined {
  const digits = text?.trim() ?? '';
  if (!/^\d{1,9}$/.test(digits)) return undefined;
  const tokens = Number(digits);
  return tokens <= MAX_TOKENS ? tokens : undefined;
}
