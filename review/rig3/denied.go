package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["denied"] = deniedCase
}

const (
	// deniedPrograms is the number of programs. Each has a budget of two turns and has had one of them.
	deniedPrograms = 720
	deniedTokens   = 4 * 11
	// usualStreams is the number of streams of other clients at a time, and burstStreams that of a burst. Each
	// stream takes crowdTime. The workers have 108 places.
	usualStreams, burstStreams = 80, 184
	crowdTime                  = 2500 * time.Millisecond
	burstTime                  = 4 * time.Second
	// killAfter is when some gateways are killed, from the begin of the burst, killAgain when the same are killed once
	// more, and downTime how long they are away.
	killAfter, killAgain, downTime = 1400 * time.Millisecond, 2900 * time.Millisecond, 500 * time.Millisecond
	// turnTries is how often a client sends a turn at most.
	turnTries = 6
	// killedGateways of deniedGateways are killed.
	deniedGateways, killedGateways = 6, 3
)

const deniedDocument = `{"version":7,
"routes":[{"name":"r-quotes","host":"shop.example","pathPrefix":"/quotes/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,
"priority":1,"service":"order-agents","maxAttempts":1,"retainContext":true,"retentionS":60.0,"allowAnonymous":false,"sticky":true,"resumable":false,"gapAimMs":150},
{"name":"r-prints","host":"shop.example","pathPrefix":"/prints/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,
"priority":0,"service":"order-agents","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":true,"resumable":false,"gapAimMs":150}],
"services":[{"name":"order-agents","healthPath":"/health","maxConnections":150,"protocol":"h1","tls":false,
"engine":{"slots":12,"kvCapacityTokens":160755,"kvTokenBytes":35136,"linkMbps":740000.0,"tokensPerEvent":11,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1},{"name":"tenant-b","apiKeys":["key-b"],"priority":0}]}`

// deniedCase kills some gateways while all workers are full. Rule DENIED: more than 5 and one in 500 of all requests are
// ended with a 4xx of the system's own though they are proper. Only those are counted that come at gateways in touch, for
// turns that the budget holds: no earlier attempt reached a worker.
func deniedCase(rec *recorder) (bool, error) {
	list, err := newCloud()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	run := func(w *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		rec.add("worker %s runs %s", w.id, id)
		out.Header().Set("Response-Signature", "signed")
		out.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(out)
		events, pause := 4, 50*time.Millisecond
		if r.URL.Path == "/prints/1" {
			events = 25
			pause = crowdTime / time.Duration(events)
		}
		time.Sleep(pause)
		for i := range events {
			fmt.Fprintf(out, "id: %d\ndata: event %d\n\n", i+1, i+1)
			if flush.Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	}
	for i := range 9 {
		if _, err := startWorker(list, rec, "order-agents", zones[i%len(zones)], 12, run); err != nil {
			return false, err
		}
	}
	f, err := newFleet(rec, list.address, deniedGateways, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if status, err := f.put(7, deniedDocument); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the desired state was answered %d: %w", status, err)
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch, and the list is read

	requests := 0
	// stream sends a request and returns the status, whether the stream came whole, and the Retry-After.
	stream := func(gateway int, path, key string, header map[string]string) (status int, whole bool, retry time.Duration) {
		m := f.gateways[gateway]
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, f.front, path), strings.NewReader("input "+header["Request-Id"]))
		if err != nil {
			return 0, false, 0
		}
		r.Host = "shop.example"
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Deadline-Ms", "3000")
		for name, value := range header {
			r.Header.Set(name, value)
		}
		mu.Lock()
		requests++
		mu.Unlock()
		client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(r)
		if err != nil {
			rec.add("%s to %s: no answer", header["Request-Id"], m.name)
			return 0, false, 0
		}
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
		}
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		rec.add("%s to %s: %d, whole %t", header["Request-Id"], m.name, response.StatusCode, lines.Err() == nil)
		return response.StatusCode, lines.Err() == nil, time.Duration(seconds * float64(time.Second))
	}
	turn := func(gateway int, program, id, previous string) (int, bool, time.Duration) {
		header := map[string]string{
			"Request-Id": id, "Program-Id": program, "Session-Id": program, "Finish-Ms": "30000", "Model": "m",
			"Token-Budget": strconv.Itoa(2 * deniedTokens), "Token-Usage": fmt.Sprintf("100,%d", deniedTokens),
		}
		if previous != "" {
			header["Previous-Turn"] = previous
		}
		return stream(gateway, "/quotes/1", "key-a", header)
	}

	// The first turns, in calm.
	first := map[string]string{}
	var begun sync.WaitGroup
	for i := range deniedPrograms {
		begun.Go(func() {
			program := fmt.Sprintf("program-%d", i)
			for try := range 10 {
				id := fmt.Sprintf("%s.first.%d", program, try)
				if status, whole, _ := turn(rand.IntN(deniedGateways), program, id, ""); status == http.StatusOK && whole {
					mu.Lock()
					first[program] = id
					mu.Unlock()
					return
				}
				mu.Lock()
				reached := ran[id]
				mu.Unlock()
				if reached {
					return // the rest of its budget is not known
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	begun.Wait()
	time.Sleep(2 * time.Second)
	rec.add("%d programs have had their first turn", len(first))

	// Other clients fill three quarters of the places, and all of them in a burst, while the programs go on.
	var others, programs sync.WaitGroup
	streams := func(from, to int, end time.Time) {
		for i := from; i < to; i++ {
			others.Go(func() {
				time.Sleep(rand.N(crowdTime / 2))
				for try := 0; time.Now().Before(end); try++ {
					_, _, retry := stream(rand.IntN(deniedGateways), "/prints/1", "key-b", map[string]string{
						"Request-Id": fmt.Sprintf("other-%d-%d", i, try), "Model": "m", "Token-Usage": "100,275",
					})
					time.Sleep(max(retry, 50*time.Millisecond))
				}
			})
		}
	}
	began := time.Now().Add(crowdTime)
	streams(0, usualStreams, began.Add(burstTime))
	time.Sleep(time.Until(began))
	rec.add("the burst begins")
	streams(usualStreams, burstStreams, began.Add(burstTime))
	var kill sync.WaitGroup
	if trouble() {
		kill.Go(func() {
			for _, at := range []time.Duration{killAfter, killAgain} {
				time.Sleep(time.Until(began.Add(at)))
				for _, m := range f.gateways[:killedGateways] {
					if err := f.process(m, "gateway").Process.Kill(); err == nil {
						rec.add("%s is killed", m.name)
					}
				}
				time.Sleep(downTime)
				for _, m := range f.gateways[:killedGateways] {
					f.process(m, "gateway").Wait() //nolint:errcheck // killed
					if err := f.start(m, "gateway", false); err != nil {
						rec.add("%s does not start: %v", m.name, err)
					}
				}
			}
		})
	}
	denied, served, refused := 0, 0, 0
	for program, previous := range first {
		programs.Go(func() {
			time.Sleep(600*time.Millisecond + rand.N(2200*time.Millisecond))
			for try := range turnTries {
				id, gateway := fmt.Sprintf("%s.second.%d", program, try), rand.IntN(deniedGateways)
				status, _, retry := turn(gateway, program, id, previous)
				mu.Lock()
				switch {
				case ran[id]:
					served++
				case status == http.StatusPaymentRequired && gateway >= killedGateways:
					denied++
					rec.add("%s is denied its second turn, which its budget holds", program)
				case status != http.StatusPaymentRequired && try+1 < turnTries:
					status = 0
				default:
					refused++
				}
				done := ran[id] || status != 0
				mu.Unlock()
				if done {
					return
				}
				time.Sleep(max(retry, 100*time.Millisecond+rand.N(300*time.Millisecond)))
			}
		})
	}
	programs.Wait()
	others.Wait()
	kill.Wait()
	allowed := 5 + requests/500
	rec.add("of %d programs, %d were denied a turn that their budgets hold (%d allowed), the turns of %d reached a worker, %d gave up; %d requests in all",
		len(first), denied, allowed, served, refused, requests)
	fmt.Printf("DENIED: %d of %d turns that the budgets hold got 402 (%d allowed), %d reached a worker, %d gave up\n", denied, len(first), allowed, served, refused)
	return denied > allowed, nil
}
