package main

import (
	"context"
	"fmt"
	"time"

	"github.com/mangoknot/mangoknot/internal/load"
)

type streamCommand struct {
	VM        string `arg:"--vm,required" placeholder:"IP:PORT" help:"callers' address of the entry VM"`
	Key       string `arg:"--key,env:MANGOKNOT_KEY,required" help:"the caller's key"`
	Model     string `arg:"--model,required"`
	MaxTokens int    `arg:"--max-tokens" default:"4000"`
}

func (c *streamCommand) execute(ctx context.Context) error {
	end, err := load.HoldStream(ctx, c.VM, c.Key, c.Model, c.MaxTokens, func() { fmt.Println("started") })
	if err != nil {
		return err
	}
	fmt.Printf("ended %s %d %s\n", end.Code, end.At.UnixMilli(), end.Message)
	return nil
}

type refusedCommand struct {
	VMs    []string      `arg:"--vm,separate,required" placeholder:"IP:PORT" help:"callers' address of an entry VM; repeatable"`
	Key    string        `arg:"--key,env:MANGOKNOT_KEY,required" help:"the caller's key"`
	Code   string        `arg:"--code" default:"key_withdrawn" help:"expected code of the refusal"`
	Within time.Duration `arg:"--within" default:"5s" help:"longest time to wait"`
}

func (c *refusedCommand) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	last, err := load.AwaitRefusal(ctx, c.VMs, c.Key, c.Code)
	if err != nil {
		return err
	}
	fmt.Printf("refused %s %d\n", c.Code, last.UnixMilli())
	return nil
}

type readyCommand struct {
	VMs    []string      `arg:"--vm,separate,required" placeholder:"IP:PORT" help:"callers' address of an entry VM; repeatable"`
	Within time.Duration `arg:"--within" default:"20s" help:"longest time to wait"`
}

func (c *readyCommand) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	return load.NewBalancer(c.VMs).AwaitReady(ctx)
}

type portsCommand struct {
	Count int `arg:"positional,required"`
}

func (c *portsCommand) execute() error {
	ports, err := load.FreePorts(c.Count)
	for _, port := range ports {
		fmt.Println(port)
	}
	return err
}
