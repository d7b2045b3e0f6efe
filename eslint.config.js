import tseslint from "typescript-eslint"

export default tseslint.config(
  {ignores: ["dist", "target", "node_modules", ".tap"]},
  ...tseslint.configs.recommended,
  {
    rules: {
      "@typescript-eslint/no-unused-vars": ["error", {argsIgnorePattern: "^_"}],
      "max-depth": ["error", 4],
      eqeqeq: "error",
      "prefer-const": "error"
    }
  },
  {
    // The steady clock does not count the time in which a machine is suspended.
    files: ["src/**/*.ts", "platform/**/*.ts"],
    ignores: ["src/adapters/clock.ts"],
    rules: {
      "no-restricted-properties": ["error", {object: "performance", property: "now"}]
    }
  },
  {
    // The decision core is pure: no clock, no randomness, no I/O.
    files: ["src/core/**/*.ts", "src/plugins/**/*.ts"],
    rules: {
      "no-restricted-globals": ["error", "setTimeout", "setInterval", "process", "fetch"],
      "no-restricted-properties": [
        "error",
        {object: "Math", property: "random"},
        {object: "Date", property: "now"},
        {object: "performance", property: "now"}
      ],
      "no-restricted-imports": [
        "error",
        {patterns: ["node:*", "**/adapters/*", "**/bin/*", "undici", "ws", "pino"]}
      ]
    }
  }
)
