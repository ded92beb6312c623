#include "batch/cluster.h"

#include "batch/cluster_impl.h"

namespace bergamotwick::test {

Cluster::Cluster(std::size_t executors, std::uint64_t seed, Unprotected unprotected)
    : impl_(std::make_unique<Impl>())
{
    Impl &impl = *impl_;
    impl.random_.seed(seed);
    impl.unprotected_ = unprotected;
    impl.faults_ = &faults_;
    batch::Queue queue;
    queue.host_ = "h";
    queue.service_ = ServiceId("service");
    queue.maxAttempts_ = 3;
    queue.stretch_ = 3;
    queue.targetLatency_ = 1s;
    for (std::int32_t priority = 0; priority < 3; ++priority) {
        queue.prefix_ = "/" + std::to_string(priority) + "/";
        queue.priority_ = priority;
        impl.config_.queues_.push_back(queue);
    }
    impl.config_.version_ = 1;
    impl.config_.workspaces_ = {{WorkspaceId("w"), {}, 16}};
    for (std::size_t index = 0; index < executors; ++index) {
        impl.addHost(index);
    }
    impl.elect();
    impl.every(tick, [&impl] { impl.tickLeaders(); });
    impl.every(renewalPeriod, [&impl] { impl.renew(); });
    for (std::size_t index = 0; index < executors; ++index) {
        impl.every(tick, [&impl, index] { impl.stepAgent(index, {}); });
        impl.every(holdPeriod, [&impl, index] { impl.hold(index); });
        impl.every(heartbeatPeriod, [&impl, index] { impl.beat(index); });
    }
    run(2s);
}

Cluster::~Cluster() = default;

void Cluster::run(Duration length)
{
    impl_->run(length);
}

void Cluster::submit(batch::Submission job)
{
    job.acceptedAt_ = impl_->calendar();
    impl_->judge_.submitted(job, 3);
    impl_->jobs_.push_back(job);
    impl_->stepLeader(impl_->seats_.size() - 1, {batch::JobStored{job}});
}

void Cluster::cancel(const JobId &job)
{
    impl_->cancels_.insert(job);
    impl_->judge_.cancelled(job, impl_->now_);
    impl_->stepLeader(impl_->seats_.size() - 1, {batch::CancelStored{job}});
}

void Cluster::behave(const JobId &job, milliseconds length, bool fails)
{
    impl_->behaviours_[job] = {length, fails};
}

void Cluster::cutAgent(std::size_t host, Duration length)
{
    impl_->hosts_[host].cutUntil_ = impl_->now_ + length;
}

void Cluster::silenceExecutor(std::size_t host, Duration length)
{
    impl_->hosts_[host].silentUntil_ = impl_->now_ + length;
}

void Cluster::restartAgent(std::size_t host)
{
    Impl::Host &target = impl_->hosts_[host];
    ++target.incarnation_;
    target.agent_ = std::make_unique<batch::AgentCore>(target.name_, stopTakes);
    target.attached_ = false;
    impl_->at(impl_->now_ + 200ms, [impl = impl_.get(), host] { impl->attach(host, impl->seats_.size() - 1); });
}

void Cluster::restartExecutor(std::size_t host, bool sameName)
{
    impl_->judge_.executorDown(impl_->hosts_[host].executor_->facts().incarnation_);
    impl_->bringUp(host, sameName);
}

void Cluster::removeExecutor(std::size_t host)
{
    impl_->judge_.executorDown(impl_->hosts_[host].executor_->facts().incarnation_);
    impl_->hosts_[host].gone_ = true;
}

void Cluster::drain(std::size_t host, milliseconds remaining)
{
    impl_->hosts_[host].draining_ = true;
    impl_->hosts_[host].remaining_ = remaining;
    impl_->beat(host);
}

void Cluster::failAllOn(std::size_t host, Duration length)
{
    impl_->hosts_[host].failingUntil_ = impl_->now_ + length;
}

void Cluster::hangAllOn(std::size_t host, Duration length)
{
    impl_->hosts_[host].hangingUntil_ = impl_->now_ + length;
}

void Cluster::replaceLeader(Duration gap, bool wakes)
{
    Impl &impl = *impl_;
    Impl::Seat &former = impl.seats_.back();
    former.gone_ = !wakes;
    former.frozenUntil_ = impl.now_ + gap + 500ms;
    impl.leaderRevision_ = 0;
    ++impl.revision_;
    impl.at(impl.now_ + gap, [&impl] { impl.elect(); });
}

void Cluster::evacuate(const std::string &dataCentre)
{
    impl_->evacuated_.insert(DataCentreId(dataCentre));
    impl_->stepLeader(impl_->seats_.size() - 1, {batch::EvacuationsChanged{impl_->evacuated_}});
}

batch::JobState Cluster::state(const JobId &job) const
{
    const auto found = impl_->records_.find(job);
    return found == impl_->records_.end() ? batch::JobState::Queued : found->second.progress_.state_;
}

const batch::Leader *Cluster::leader() const
{
    return impl_->seats_.back().leader_.get();
}

const std::vector<std::string> &Cluster::breaches() const noexcept
{
    return impl_->judge_.breaches();
}

std::size_t Cluster::starts(const JobId &job) const
{
    return impl_->judge_.starts(job);
}

Instant Cluster::firstStart(const JobId &job) const
{
    return impl_->judge_.firstStart(job);
}

std::size_t Cluster::wastedStarts() const noexcept
{
    return impl_->judge_.wasted_;
}

Instant Cluster::now() const noexcept
{
    return impl_->now_;
}

batch::ClusterConfig &Cluster::config() noexcept
{
    return impl_->config_;
}

void Cluster::reconfigure()
{
    impl_->stepLeader(impl_->seats_.size() - 1, {batch::ConfigChanged{impl_->config_}});
}

batch::Submission jobOf(const std::string &id, std::uint32_t count, batch::ResourceVector each, milliseconds length)
{
    batch::Submission job;
    job.id_ = JobId(id);
    job.queue_ = "h/1/";
    job.workspace_ = WorkspaceId("w");
    job.service_ = ServiceId("service");
    batch::Step step;
    step.count_ = count;
    step.taskDemand_ = each;
    step.estimate_ = length;
    job.steps_ = {step};
    return job;
}

batch::Submission gangOf(const std::string &id, std::uint32_t count, batch::ResourceVector each, milliseconds length)
{
    batch::Submission job = jobOf(id, count, each, length);
    job.steps_[0].gang_ = true;
    return job;
}

}
