package daemon_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/shoenig/test/must"

	"github.com/mangoknot/mangoknot/adapter/operatorapi"
	"github.com/mangoknot/mangoknot/emulator/engine"
	"github.com/mangoknot/mangoknot/internal/daemon"
)

// historyTexts returns the contents of the messages of a program's history.
func historyTexts(t *testing.T, v *vm, key, program string) []string {
	t.Helper()
	status, body := v.get(t, "/v1/history/"+program, key)
	must.Eq(t, http.StatusOK, status, must.Sprint(v.name, body))
	var history struct {
		Messages []struct{ Content string }
	}
	must.NoError(t, json.Unmarshal([]byte(body), &history))
	var out []string
	for _, m := range history.Messages {
		out = append(out, m.Content)
	}
	return out
}

// Guards against a VM that cannot join, because the VMs that it contacts first
// have no address for their reply before the VM is in the configuration.
func TestVMsJoinThroughVoters(t *testing.T) {
	startSystem(t, false)
}

// Guards against state that is visible on one VM only: turns, resent requests,
// open routes and the separation of client accounts must be the same on every VM.
func TestSixVMs(t *testing.T) {
	s := startSystem(t, true)
	t.Run("a program through different VMs", func(t *testing.T) {
		var want []string
		var conversation []openai.ChatCompletionMessageParamUnion
		for i, v := range s.vms {
			question := fmt.Sprint("turn ", i)
			conversation = append(conversation, user(question))
			params := chatParams(user(question))
			client := v.client(keyOne)
			if i%2 == 1 {
				params = chatParams(conversation...)
				got, err := client.Chat.Completions.New(t.Context(), params, inProgram("wander"))
				must.NoError(t, err, must.Sprint(v.name))
				conversation = append(conversation, got.Choices[0].Message.ToParam())
				want = append(want, question, got.Choices[0].Message.Content)
				continue
			}
			got, err := readStream(t, client, params, inProgram("wander"), newMessages())
			must.NoError(t, err, must.Sprint(v.name))
			must.Eq(t, wantText(t, chatParams(conversation...)), got.Choices[0].Message.Content)
			conversation = append(conversation, got.Choices[0].Message.ToParam())
			want = append(want, question, got.Choices[0].Message.Content)
		}
		for _, v := range s.vms {
			must.Eq(t, want, historyTexts(t, v, keyOne, "wander"))
		}
	})
	t.Run("another account's program", func(t *testing.T) {
		for _, v := range s.vms {
			for _, path := range []string{"/v1/programs/", "/v1/history/"} {
				hidden, hiddenBody := v.get(t, path+"wander", keyTwo)
				absent, absentBody := v.get(t, path+"nobody", keyTwo)
				must.Eq(t, http.StatusNotFound, hidden)
				must.Eq(t, absent, hidden)
				must.Eq(t, strings.ReplaceAll(absentBody, "nobody", "wander"), hiddenBody)
			}
		}
	})
	t.Run("a payment resent through another VM", func(t *testing.T) {
		before := s.effects()
		var bodies []string
		for _, v := range s.vms {
			status, body := v.send(t, http.MethodPost, "/v1/services/payment/pay", keyOne, `{"amount":1}`,
				"Idempotency-Key", "pay-1", "Mangoknot-Program", "payer")
			must.Eq(t, http.StatusOK, status, must.Sprint(v.name, body))
			bodies = append(bodies, body)
		}
		for _, body := range bodies {
			must.Eq(t, bodies[0], body)
		}
		must.Eq(t, before+1, s.effects())
		must.Eq(t, 1_000, programSpend(t, s.vms[0], keyOne, "payer"))
	})
	t.Run("an open route without a key", func(t *testing.T) {
		for _, v := range s.vms {
			status, body := v.send(t, http.MethodPost, "/v1/services/status/now", "", "x")
			must.Eq(t, http.StatusOK, status, must.Sprint(v.name, body))
			status, _ = v.send(t, http.MethodPost, "/v1/services/payment/pay", "", "x")
			must.Eq(t, http.StatusUnauthorized, status)
		}
	})
	t.Run("a silent engine connection", func(t *testing.T) {
		s.slow(60)
		defer s.slow(1)
		params := chatParams(user("silence"))
		stream := s.vms[0].client(keyOne).Chat.Completions.NewStreaming(t.Context(), params, inProgram("silent"))
		defer stream.Close()
		answer := &openai.ChatCompletionAccumulator{}
		for n := 0; stream.Next(); n++ {
			must.True(t, answer.AddChunk(stream.Current()))
			if n == 2 {
				for _, e := range s.engines {
					e.Inject(engine.Fault{Kind: engine.FaultSilent})
				}
			}
		}
		must.NoError(t, stream.Err())
		must.Eq(t, wantText(t, params), answer.Choices[0].Message.Content)
	})
}

// startStreams starts a stream on each VM and returns after the first event of
// each. wait waits for their ends and returns their texts and errors.
func startStreams(t *testing.T, vms []*vm, key, prefix string) (wait func() (texts []string, errs []error)) {
	t.Helper()
	texts, errs := make([]string, len(vms)), make([]error, len(vms))
	var begun, ended sync.WaitGroup
	for i, v := range vms {
		begun.Add(1)
		ended.Go(func() {
			stream := v.client(key).Chat.Completions.NewStreaming(t.Context(), chatParams(user(prefix+v.name)), inProgram(prefix+v.name))
			defer stream.Close()
			answer := &openai.ChatCompletionAccumulator{}
			first := sync.OnceFunc(begun.Done)
			defer first()
			for stream.Next() {
				answer.AddChunk(stream.Current())
				first()
			}
			errs[i] = stream.Err()
			if len(answer.Choices) > 0 {
				texts[i] = answer.Choices[0].Message.Content
			}
		})
	}
	begun.Wait()
	return func() ([]string, []error) { ended.Wait(); return texts, errs }
}

// Guards against a withdrawn key that stays valid for streams in progress, or on
// VMs other than the one that received the withdrawal.
func TestWithdrawnKeyOverHTTP(t *testing.T) {
	s := startSystem(t, true)
	s.slow(400)
	wait := startStreams(t, s.vms, keyTwo, "withdrawn-")
	_, err := s.vms[3].operator().WithdrawKey(t.Context(), operatorapi.NewOperation(), "key-two")
	must.NoError(t, err)
	// The objective is a withdrawal on all VMs within 5 s.
	limit := time.Now().Add(5 * time.Second)
	_, errs := wait()
	for _, v := range s.vms {
		for {
			status, body := v.get(t, "/v1/models", keyTwo)
			if status == http.StatusUnauthorized {
				must.StrContains(t, body, "key_withdrawn")
				break
			}
			must.True(t, time.Now().Before(limit), must.Sprint(v.name))
			time.Sleep(pollDelay)
		}
	}
	must.True(t, time.Now().Before(limit))
	for i, err := range errs {
		must.ErrorContains(t, err, "key_withdrawn", must.Sprint(s.vms[i].name))
	}
}

// Guards against a planned stop that interrupts a stream or refuses a request,
// while a balancer sends requests to the ready VMs.
func TestDrainOverHTTP(t *testing.T) {
	s := startSystem(t, true)
	s.slow(100)
	leaving := s.vms[0]
	wait := startStreams(t, s.vms, keyOne, "drain-")
	must.NoError(t, leaving.operator().Drain(t.Context()))
	// The balancer has not removed the leaving VM yet and still sends it calls.
	_, late := leaving.client(keyOne).Chat.Completions.New(t.Context(), chatParams(user("late")), inProgram("late"))
	must.NoError(t, late)
	var errs []error
	for n, running := 0, true; running; n++ {
		select {
		case <-leaving.done:
			running = false
		default:
		}
		v := s.vms[1+n%(len(s.vms)-1)]
		_, err := v.client(keyOne).Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
			Model: "model-a", MaxTokens: openai.Int(1), Messages: []openai.ChatCompletionMessageParamUnion{user(fmt.Sprint("during ", n))},
		}, inProgram(fmt.Sprint("during-", n%7)))
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", v.name, err))
		}
	}
	must.SliceEmpty(t, errs)
	texts, streamErrs := wait()
	for i, v := range s.vms {
		must.NoError(t, streamErrs[i], must.Sprint(v.name))
		must.Eq(t, wantText(t, chatParams(user("drain-"+v.name))), texts[i])
	}
	must.ErrorIs(t, leaving.err, daemon.ErrDrained)
}

// Guards against the loss of acknowledged turns when a VM fails, and against
// programs that cannot continue on other VMs.
func TestVMStopsAbruptly(t *testing.T) {
	s := startSystem(t, true)
	want := map[string][]string{}
	turn := func(v *vm, program, question string) error {
		params := chatParams(user(question))
		got, err := v.client(keyOne).Chat.Completions.New(t.Context(), params, inProgram(program), newMessages())
		if err == nil {
			want[program] = append(want[program], question, got.Choices[0].Message.Content)
		}
		return err
	}
	for n := range 12 {
		must.NoError(t, turn(s.vms[n%len(s.vms)], fmt.Sprint("p", n), "before"))
	}
	// north-2 has no disk, so only the backups still have its shards.
	dead := s.vms[3]
	dead.stop()
	<-dead.done
	live := append(append([]*vm{}, s.vms[:3]...), s.vms[4:]...)
	for n := range 12 {
		program := fmt.Sprint("p", n)
		eventually(t, "program "+program+" continues", func() bool {
			err := turn(live[n%len(live)], program, "after")
			var refused *openai.Error
			if err != nil && errors.As(err, &refused) {
				must.NotEq(t, http.StatusNotFound, refused.StatusCode, must.Sprint(err))
			}
			return err == nil
		})
		must.Eq(t, want[program], historyTexts(t, live[(n+1)%len(live)], keyOne, program))
	}
}

// Guards against leaked secrets: a caller's key or an operator's token in a
// request to a target, or a key, token or prompt in a log line, a metric or an
// error body.
func TestSecretsDoNotLeak(t *testing.T) {
	s := startSystem(t, true)
	const prompt, badKey = "prompt-text-planted", "mk_unknown-planted"
	var bodies strings.Builder
	for _, v := range s.vms {
		_, err := v.client(keyOne).Chat.Completions.New(t.Context(), chatParams(user(prompt)), inProgram("secret-"+v.name))
		must.NoError(t, err)
		for _, path := range []string{"/v1/services/payment/x", "/v1/services/status/x"} {
			status, body := v.send(t, http.MethodPost, path, keyOne, "{}", "Cookie", "key="+keyOne, "X-Api-Key", keyOne, "Mangoknot-Operator", operatorToken)
			must.Eq(t, http.StatusOK, status, must.Sprint(body))
		}
		for _, request := range [][]string{
			{badKey, `{"model":"model-a","messages":[{"role":"user","content":"` + prompt + `"}]}`},
			{operatorToken, `{}`},
			{keyOne, `{"model":"nowhere","messages":[{"role":"user","content":"` + prompt + `"}]}`},
			{keyOne, `{"model":"model-a","messages":"` + prompt + `"}`},
			{keyOne, `{"model":"model-a","n":2,"messages":[{"role":"` + prompt},
		} {
			status, body := v.send(t, http.MethodPost, "/v1/chat/completions", request[0], request[1])
			must.Between(t, 400, status, 499, must.Sprint(body))
			bodies.WriteString(body)
		}
		_, metrics := v.get(t, "/metrics", "")
		bodies.WriteString(metrics)
	}
	var seen strings.Builder
	for i := range s.engines {
		for _, r := range s.engines[i].Requests() {
			fmt.Fprintln(&seen, r)
		}
		for _, r := range s.tools[i].Requests() {
			fmt.Fprintln(&seen, r)
		}
	}
	must.StrContains(t, seen.String(), prompt)
	for _, secret := range []string{keyOne, badKey, operatorToken} {
		must.StrNotContains(t, seen.String(), secret)
	}
	for _, secret := range []string{keyOne, badKey, operatorToken, prompt} {
		must.StrNotContains(t, bodies.String(), secret)
		must.StrNotContains(t, s.logs.String(), secret)
	}
}
