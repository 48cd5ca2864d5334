package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["budget"] = budgetCase
}

const (
	// budgetTurns is the number of turns that the budget of a program holds, and subAgents the number of
	// sub-agents that a program starts in parallel after its first turn, each with one turn.
	budgetTurns = 6
	subAgents   = 9
	// eventsPerTurn and tokensPerEvent give the tokens of a turn, which all turns use up.
	eventsPerTurn  = 4
	tokensPerEvent = 11
	turnTokens     = eventsPerTurn * tokensPerEvent
	programTokens  = (budgetTurns + 1) * turnTokens // with the first turn
	// freeze is how long the storage machine stands still at the begin of a cycle, and shortFreeze while the
	// sub-agents of a program begin. The third zone's sub-agents come first, and those of the other zones
	// zoneDelay later each: about the way between two zones.
	freeze, shortFreeze = 600 * time.Millisecond, 25 * time.Millisecond
	zoneDelay           = 4 * time.Millisecond
	// budgetCycles is the number of cycles, and groupsPerCycle that of the groups of programs in each.
	// The programs of a group begin together.
	budgetCycles, groupsPerCycle, programsPerGroup = 14, 4, 4
	cyclePause                                     = 2800 * time.Millisecond
)

const budgetDocument = `{"version":7,
"routes":[{"name":"r-agents","host":"shop.example","pathPrefix":"/agents/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,
"priority":0,"service":"order-agents","maxAttempts":1,"retainContext":false,"retentionS":60.0,"allowAnonymous":false,"sticky":true,"resumable":false,"gapAimMs":150}],
"services":[{"name":"order-agents","healthPath":"/health","maxConnections":150,"protocol":"h1","tls":false,
"engine":{"slots":12,"kvCapacityTokens":160755,"kvTokenBytes":35136,"linkMbps":740000.0,"tokensPerEvent":11,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-a","apiKeys":["key-a"],"priority":1}]}`

// budgetCase runs programs that start sub-agents in all zones at once, after a storage machine stood still. Rule
// BUDGET: a program gets more tokens than its Token-Budget and the most of one turn.
func budgetCase(rec *recorder) (bool, error) {
	list, err := newCloud()
	if err != nil {
		return false, err
	}
	run := func(w *worker, out http.ResponseWriter, r *http.Request, _ []byte) {
		rec.add("worker %s runs %s", w.id, r.Header.Get("Request-Id"))
		out.Header().Set("Response-Signature", "signed")
		out.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(out)
		time.Sleep(100 * time.Millisecond)
		for i := range eventsPerTurn {
			fmt.Fprintf(out, "id: %d\ndata: event %d\n\n", i+1, i+1)
			if flush.Flush() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i := range 9 {
		if _, err := startWorker(list, rec, "order-agents", zones[i%len(zones)], 12, run); err != nil {
			return false, err
		}
	}
	f, err := newFleet(rec, list.address, 6, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if status, err := f.put(7, budgetDocument); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the desired state was answered %d: %w", status, err)
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch, and the list is read

	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	// turn sends a turn and returns the tokens that the client received.
	turn := func(gateway int, id, program string) int {
		m := f.gateways[gateway%len(f.gateways)]
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/agents/1", m.ip, f.front), strings.NewReader("input "+id))
		if err != nil {
			return 0
		}
		r.Host = "shop.example"
		for name, value := range map[string]string{
			"Request-Id": id, "Program-Id": program, "Session-Id": id, "Finish-Ms": "2500", "Deadline-Ms": "3000", "Model": "m",
			"Authorization": "Bearer key-a", "Token-Budget": strconv.Itoa(programTokens), "Token-Usage": fmt.Sprintf("100,%d", turnTokens),
		} {
			r.Header.Set(name, value)
		}
		rec.add("client sends %s to %s", id, m.name)
		response, err := client.Do(r)
		if err != nil {
			rec.add("%s: no answer: %v", id, err)
			return 0
		}
		defer response.Body.Close()
		tokens := 0
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "data:") && response.StatusCode == http.StatusOK {
				tokens += tokensPerEvent
			}
		}
		rec.add("%s: %d with %d tokens", id, response.StatusCode, tokens)
		return tokens
	}
	warm := func() { // connections of the clients and of the gateways
		var turns sync.WaitGroup
		for i := range 4 * len(f.gateways) {
			turns.Go(func() { turn(i, fmt.Sprintf("warm-%d-%d", time.Now().UnixNano(), i), fmt.Sprintf("warm-%d", i)) })
		}
		turns.Wait()
	}
	warm()
	var mu sync.Mutex
	over, most, programs := 0, 0, 0
	// still lets the first storage machine stand still for a time, in which meanwhile is called.
	frozen := f.stores[0]
	var failed error
	still := func(d time.Duration, meanwhile func()) {
		began := time.Now()
		signal := func(s syscall.Signal) {
			for _, role := range frozen.roles {
				if err := f.signal(frozen, role, s); err != nil {
					failed = err
				}
			}
		}
		if trouble() {
			signal(syscall.SIGSTOP)
			rec.add("%s stands still for %v", frozen.name, d)
		}
		meanwhile()
		time.Sleep(d - time.Since(began))
		if trouble() {
			signal(syscall.SIGCONT)
		}
	}
	// group runs some programs. The first turn of each has ended before their sub-agents begin.
	group := func(names []string) {
		tokens := map[string]int{}
		var turns sync.WaitGroup
		begin := func(gateway int, program, agent string) {
			turns.Go(func() {
				n := turn(gateway, program+agent, program)
				mu.Lock()
				tokens[program] += n
				mu.Unlock()
			})
		}
		for i, name := range names {
			begin(i, name, ".first")
		}
		turns.Wait()
		still(shortFreeze, func() {
			for zone := 2; zone >= 0; zone-- {
				for i := range subAgents / 3 {
					for _, name := range names {
						begin(zone+3*(i%2), name, fmt.Sprintf(".%d", 3*zone+i))
					}
				}
				time.Sleep(zoneDelay)
			}
		})
		turns.Wait()
		for name, n := range tokens {
			programs++
			most = max(most, n-programTokens)
			if n > programTokens+turnTokens {
				over++
				rec.add("the program %s got %d tokens with a budget of %d and at most %d a turn", name, n, programTokens, turnTokens)
			}
		}
	}
	for cycle := range budgetCycles {
		// Ordinary turns of other programs in the second zone.
		var others sync.WaitGroup
		still(freeze, func() {
			others.Go(func() { turn(1, fmt.Sprintf("other-%d-1", cycle), fmt.Sprintf("other-%d-1", cycle)) })
			others.Go(func() { turn(4, fmt.Sprintf("other-%d-4", cycle), fmt.Sprintf("other-%d-4", cycle)) })
		})
		others.Wait()
		time.Sleep(100 * time.Millisecond)
		for i := range groupsPerCycle {
			var names []string
			for k := range programsPerGroup {
				names = append(names, fmt.Sprintf("program-%d-%d-%d", cycle, i, k))
			}
			group(names)
		}
		time.Sleep(cyclePause)
	}
	if failed != nil {
		return false, failed
	}
	rec.add("%d of %d programs got more than their budget and the most of one turn; the most was %d tokens above the budget, with %d tokens a turn", over, programs, most, turnTokens)
	fmt.Printf("BUDGET: %d of %d programs above the budget and one turn; at most %d tokens above the budget, %d a turn\n", over, programs, most, turnTokens)
	return over > 0, nil
}
