// Runs the stock client against an entry process. Arguments: base URL, key,
// model. Exit status 0 only if every check held.
import assert from "node:assert/strict";
import OpenAI, { toFile } from "openai";

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
const messages = [{ role: "user", content: "a koi pattern" }];

async function models() {
  const names = [];
  for await (const entry of client.models.list()) names.push(entry.id);
  assert.ok(names.includes(model));
}

async function chat() {
  const whole = await client.chat.completions.create({ model, messages });
  const text = whole.choices[0].message.content;
  assert.equal(whole.choices[0].finish_reason, "stop");
  assert.equal(text.trim().split(" ").length, 16);
  const stream = await client.chat.completions.create({
    model,
    messages,
    stream: true,
  });
  let streamed = "";
  let finish = null;
  for await (const chunk of stream) {
    streamed += chunk.choices[0]?.delta?.content ?? "";
    finish = chunk.choices[0]?.finish_reason ?? finish;
  }
  assert.equal(streamed, text);
  assert.equal(finish, "stop");
}

async function errors() {
  const wrong = new OpenAI({ baseURL, apiKey: "wrong", maxRetries: 0 });
  await assert.rejects(wrong.models.list(), OpenAI.AuthenticationError);
  await assert.rejects(
    client.chat.completions.create({ model: "none", messages }),
    OpenAI.NotFoundError,
  );
}

function itemLine(number) {
  return JSON.stringify({
    custom_id: `item-${number}`,
    method: "POST",
    url: "/v1/chat/completions",
    body: { model, messages: [{ role: "user", content: `card ${number}` }] },
  });
}

async function batches() {
  const lines = [...Array(5).keys()].map(itemLine).join("\n") + "\n";
  const file = await client.files.create({
    file: await toFile(Buffer.from(lines), "items.jsonl"),
    purpose: "batch",
  });
  assert.equal((await client.files.retrieve(file.id)).id, file.id);
  let batch = await client.batches.create({
    input_file_id: file.id,
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
  });
  for (let i = 0; i < 600 && batch.status !== "completed"; i++) {
    await new Promise((resolve) => setTimeout(resolve, 100));
    batch = await client.batches.retrieve(batch.id);
  }
  assert.equal(batch.status, "completed");
  assert.equal(batch.request_counts.completed, 5);
  const content = await client.files.content(batch.output_file_id);
  const names = (await content.text())
    .trim()
    .split("\n")
    .map((line) => JSON.parse(line).custom_id);
  assert.deepEqual(
    names.sort(),
    [...Array(5).keys()].map((n) => `item-${n}`),
  );
  const listed = [];
  for await (const entry of client.batches.list()) listed.push(entry.id);
  assert.ok(listed.includes(batch.id));
}

for (const check of [models, chat, errors, batches]) {
  await check();
  console.log(`ok ${check.name}`);
}
