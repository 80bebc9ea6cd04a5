import js from "@eslint/js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/target/**", "**/node_modules/**"] },
    { files: ["**/*.mjs"], languageOptions: { globals: { console: "readonly", process: "readonly" } } },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-constant-condition": ["error", { checkLoops: false }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                { selector: "ExportDefaultDeclaration", message: "Use named exports." },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-explicit-any": "error",
            "@typescript-eslint/no-unused-vars": ["error", {
                argsIgnorePattern: "^_",
                varsIgnorePattern: "^_",
            }],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        files: ["**/__tests__/**"],
        rules: {
            "max-lines-per-function": "off",
            "@typescript-eslint/no-unused-expressions": "off",
        },
    },
);
