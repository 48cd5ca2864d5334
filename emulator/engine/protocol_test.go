package engine

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"
)

// Guards against an engine whose protocol differs from OpenAI's: the official
// client must read models, streams and tool calls.
func TestOpenAIClient(t *testing.T) {
	_, url := serve(t, fast)
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	ctx := context.Background()
	models, err := client.Models.List(ctx)
	must.NoError(t, err)
	must.Eq(t, "model-a", models.Data[0].ID)

	params := openai.ChatCompletionNewParams{
		Model:         "model-a",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("look [[tool:search]]")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	body, err := json.Marshal(params)
	must.NoError(t, err)
	want, err := fast.Answer(body)
	must.NoError(t, err)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	completion := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		must.True(t, completion.AddChunk(stream.Current()))
	}
	must.NoError(t, stream.Err())
	must.Eq(t, want.Text(), completion.Choices[0].Message.Content)
	must.Eq(t, want.PromptTokens, int(completion.Usage.PromptTokens))

	params.Tools = []openai.ChatCompletionToolUnionParam{
		openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "search"}),
	}
	plain, err := client.Chat.Completions.New(ctx, params)
	must.NoError(t, err)
	must.Eq(t, "tool_calls", plain.Choices[0].FinishReason)
	must.Eq(t, "search", plain.Choices[0].Message.ToolCalls[0].Function.Name)
}
