package engine

import (
	"slices"
	"time"
)

// prefillChunkTokens limits the prompt tokens of one step, so that a long prompt
// does not stall the decoding of other calls.
const prefillChunkTokens = 512

// call is a chat completion request in the engine.
type call struct {
	id, program string
	answer      *Answer
	cached      int
	prefillLeft int
	emitted     int
	events      [][]byte
	finished    time.Time // zero while the call waits or runs
	cancelled   bool
	changed     chan struct{} // closed and replaced when an event is added
}

// stepWork is the work of one call in a step. The field prefill is the number of
// prompt tokens to process.
type stepWork struct {
	call    *call
	prefill int
}

// CallStatus is the progress of a call. Events is the number of events so far.
type CallStatus struct {
	Events    int  `json:"events"`
	Done      bool `json:"done"`
	Cancelled bool `json:"cancelled"`
}

func (c *call) status() CallStatus {
	return CallStatus{len(c.events), !c.finished.IsZero(), c.cancelled}
}

// publish appends events to the answer and wakes the handlers that follow the
// call. Without events it only wakes them.
func (c *call) publish(events ...[]byte) {
	c.events = append(c.events, events...)
	close(c.changed)
	c.changed = make(chan struct{})
}

// enqueue adds a call to the queue. It reports false if the id is in use.
func (s *state) enqueue(now time.Time, id, program string, a *Answer) bool {
	s.expireAnswers(now)
	if s.calls[id] != nil {
		return false
	}
	c := &call{id: id, program: program, answer: a, changed: make(chan struct{})}
	s.calls[id] = c
	s.waiting = append(s.waiting, c)
	if s.currentStep == nil {
		s.startStep(now)
	}
	s.sampleLoad(now)
	return true
}

// expireAnswers deletes finished answers whose retention time has passed.
func (s *state) expireAnswers(now time.Time) {
	for id, c := range s.calls {
		if !c.finished.IsZero() && now.Sub(c.finished) > s.settings.AnswerRetention {
			delete(s.calls, id)
		}
	}
}

// admit moves waiting calls into the batch while it has capacity.
func (s *state) admit() {
	for len(s.waiting) > 0 && len(s.running) < s.settings.MaxBatch {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		c.cached = s.cache.match(hashBlocks(c.answer.model, c.answer.prompt))
		c.prefillLeft = max(1, c.answer.PromptTokens-c.cached)
		s.running = append(s.running, c)
	}
}

// startStep plans the next step and sets the timer to its end. An idle or hung
// engine has no current step.
func (s *state) startStep(now time.Time) {
	s.currentStep = nil
	if s.faults.hang {
		return
	}
	s.admit()
	budget, decoding := prefillChunkTokens, 0
	for _, c := range s.running {
		prefill := min(budget, c.prefillLeft)
		budget -= prefill
		if c.prefillLeft == 0 {
			decoding++
		}
		s.currentStep = append(s.currentStep, stepWork{c, prefill})
	}
	if len(s.currentStep) == 0 {
		return
	}
	s.timer.Reset(s.stepTime(prefillChunkTokens-budget, decoding))
}

// stepTime returns the duration of a step that prefills a number of tokens and
// decodes one token for each of a number of calls.
func (s *state) stepTime(prefill, decoding int) time.Duration {
	seconds := float64(prefill) / s.settings.PrefillPerSecond
	if decoding > 0 {
		seconds += (1 + s.settings.Slowdown*float64(decoding-1)) / s.settings.DecodePerSecond
	}
	return time.Duration(seconds * max(1, s.faults.slow) / s.settings.TimeScale * float64(time.Second))
}

// completeStep applies the current step and starts the next one.
func (s *state) completeStep(now time.Time) {
	if s.faults.hang {
		s.currentStep = nil
		return
	}
	for _, part := range s.currentStep {
		c := part.call
		switch {
		case !c.finished.IsZero(): // cancelled during the step
		case c.prefillLeft > 0:
			c.prefillLeft -= part.prefill
		default:
			s.decode(now, c)
		}
	}
	s.startStep(now)
}

// decode generates the next token of a call, or its whole tool call.
func (s *state) decode(now time.Time, c *call) {
	a := c.answer
	if a.stream {
		delta := object{}
		if c.emitted == 0 {
			delta["role"] = "assistant"
		}
		if a.Tool != "" {
			delta["tool_calls"] = a.toolCalls()
		} else {
			delta["content"] = a.Tokens[c.emitted]
		}
		c.publish(a.chunk(delta, nil))
	}
	c.emitted++
	if a.Tool != "" || c.emitted == len(a.Tokens) {
		c.publish(a.finalEvents(c.cached)...)
		s.cache.store(c.program, hashBlocks(a.model, a.prompt+"assistant\n"+a.Text()+"\n"))
		s.finish(now, c)
	}
}

// finish removes the call from the batch or queue and wakes its handlers.
func (s *state) finish(now time.Time, c *call) {
	c.finished = now
	is := func(other *call) bool { return other == c }
	s.running = slices.DeleteFunc(s.running, is)
	s.waiting = slices.DeleteFunc(s.waiting, is)
	c.publish()
	s.sampleLoad(now)
}

// cancel ends a call that has not finished. It reports false if the id is unknown.
func (s *state) cancel(now time.Time, id string) bool {
	c := s.calls[id]
	if c == nil {
		return false
	}
	if c.finished.IsZero() {
		c.cancelled = true
		s.finish(now, c)
	}
	return true
}
