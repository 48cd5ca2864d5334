package controller

import (
	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
	"github.com/mangoknot/mangoknot/core/ledger"
	"github.com/mangoknot/mangoknot/core/schedule"
	"github.com/mangoknot/mangoknot/core/share"
)

// applyRoles updates rate shares, windows and targets to match the shards that
// this VM owns and the configuration in force.
func (c *Controller) applyRoles() {
	if !c.reconfigure {
		return
	}
	c.reconfigure = false
	view := c.state.View()
	c.configureShares(view)
	c.configureScheduler(view)
}

// configureShares activates or deactivates the rate share roles of each account on
// this VM. The owner of a role's shard has the role.
func (c *Controller) configureShares(view *config.View) {
	for _, account := range view.Accounts() {
		c.configureShare(view, account)
	}
}

func (c *Controller) configureShare(view *config.View, account *config.AccountSpec) {
	limit := share.Limit{Account: account.Name, RatePerSecond: account.RatePerSecond, Burst: account.Burst}
	rootShard, err := ledger.RootShard(view, account.Name)
	if err != nil {
		return
	}
	holders := make([]share.Peer, 0, len(view.Homes()))
	for _, dc := range view.Homes() {
		holders = append(holders, peerOf(view, domain.AccountShard(account.Name, dc, config.ShardsPerDataCentre)))
	}
	holderShard := domain.AccountShard(account.Name, c.config.DataCentre, config.ShardsPerDataCentre)
	c.admission.Configure(limit, peerOf(view, holderShard))
	// The epoch comes from the configuration, because peers address the roles by
	// it.
	if c.stores[rootShard] != nil {
		c.root.Activate(c.now, limit, view.Assignment(rootShard).Epoch, holders)
	} else {
		c.root.Deactivate(account.Name)
	}
	if c.stores[holderShard] != nil {
		c.holder.Activate(c.now, limit, view.Assignment(holderShard).Epoch, peerOf(view, rootShard), len(holders))
	} else {
		c.holder.Deactivate(account.Name)
	}
}

func peerOf(view *config.View, id domain.ShardID) share.Peer {
	a := view.Assignment(id)
	return share.Peer{VM: a.Owner, Epoch: a.Epoch}
}

// stepShare passes a rate share message to the role to which it is addressed.
func (c *Controller) stepShare(from domain.VM, m domain.Message) {
	role := share.RoleRoot
	switch m := m.(type) {
	case *share.Request:
		role = m.To
	case *share.Grant:
		role = m.To
	}
	switch role {
	case share.RoleRoot:
		c.sendAll(c.root.Step(c.now, from, m))
	case share.RoleHolder:
		c.sendAll(c.holder.Step(c.now, from, m))
	case share.RoleEntry:
		c.applyAdmission(c.admission.Step(c.now, from, m))
	}
}

// targetShard returns the shard whose owner manages the concurrency window of the
// target.
func targetShard(t *config.TargetSpec) domain.ShardID {
	return domain.ShardID{
		DataCentre: t.DataCentre,
		Number:     uint32(domain.Hash64("target", string(t.Name)) % uint64(config.ShardsPerDataCentre)),
	}
}

// configureScheduler passes the targets and accounts to the scheduler. It also
// creates or removes the windows that this VM manages.
func (c *Controller) configureScheduler(view *config.View) {
	var infos []schedule.TargetInfo
	listed := map[domain.Target]bool{}
	for _, t := range view.Targets() {
		info := targetInfo(view, t)
		info.Leaving = info.Leaving || c.leavingTargets[t.Name]
		infos = append(infos, info)
		listed[t.Name] = true
		c.configureWindow(t, info)
	}
	for name := range c.windows {
		if !listed[name] {
			delete(c.windows, name)
		}
	}
	c.scheduler.SetTargets(c.now, infos)
	var accounts []schedule.AccountInfo
	for _, a := range view.Accounts() {
		accounts = append(accounts, schedule.AccountInfo{Name: a.Name, Weight: a.Weight})
	}
	c.scheduler.SetAccounts(accounts)
	c.scheduler.SetOrder(view.Preset().QueueOrder)
}

// targetInfo returns the scheduler's description of a target. A target without a
// manager is marked as leaving, so that it gets no new calls, because no VM limits
// the sum of the windows.
func targetInfo(view *config.View, t *config.TargetSpec) schedule.TargetInfo {
	manager := view.Assignment(targetShard(t)).Owner
	info := schedule.TargetInfo{
		Name: t.Name, DataCentre: t.DataCentre, Region: t.Region, Leaving: t.Leaving || manager == "",
		CacheTokens: t.CacheTokens, MaxBatch: max(t.MaxBatch, 1), Manager: manager,
	}
	if t.Kind == config.TargetEngine {
		for _, model := range t.Models {
			info.Pools = append(info.Pools, schedule.PoolID{Model: model})
		}
		return info
	}
	for _, route := range view.Routes() {
		for _, target := range route.Targets {
			if target == t.Name {
				info.Pools = append(info.Pools, schedule.PoolID{Service: route.Name})
			}
		}
	}
	return info
}

func (c *Controller) configureWindow(t *config.TargetSpec, info schedule.TargetInfo) {
	owned := c.stores[targetShard(t)] != nil
	switch {
	case owned && c.windows[t.Name] == nil:
		c.windows[t.Name] = schedule.NewWindowManager(info, c.now)
	case !owned:
		delete(c.windows, t.Name)
	}
}

func (c *Controller) permitRequest(from domain.VM, m *schedule.PermitRequest) {
	if w := c.windows[m.Target]; w != nil {
		c.sendAll(w.Step(c.now, from, m))
	}
}

func (c *Controller) targetLoad(in TargetLoad) {
	c.instances[in.Report.Target] = domain.Hash64(in.Instance)
	c.scheduler.ApplyLoadReport(c.now, in.Report)
	if w := c.windows[in.Report.Target]; w != nil {
		w.ApplyLoadReport(c.now, in.Report)
	}
}
