#include "job_run.h"

#include "core/overloaded.h"
#include "core/scheduling/contacts.h"
#include "core/scheduling/queue.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace bergamotwick::bench {

namespace {

constexpr Duration storeWriteTime = 5ms;
constexpr Duration oneWayLatency = 500us;
constexpr Duration checkpointTime = 500ms;
constexpr Duration restartCost = 5s; ///< extra run time of a task that is stopped and restarted
constexpr Duration samplePeriod = 5s;
constexpr Duration drainLimit = 12h;
constexpr Duration settlingTime = 5min; ///< counted as part of the outage after a data centre returns

/// A simulated worker with its agent, as seen by the scheduler.
struct FakeWorker
{
    struct HeldMember
    {
        std::uint32_t generation_ = 0;
        std::int32_t tasks_ = 0;
        Resources each_;
        MemberPhase phase_ = MemberPhase::Waiting;
        Instant startedAt_{};
    };

    AgentReport report_;
    std::map<JobId, HeldMember> heldMembers_;
    bool faulty_ = false;
    bool reportScheduled_ = false;

    [[nodiscard]] Resources free() const
    {
        Resources free = report_.capacity_;
        for (const auto &[job, heldMember] : heldMembers_) {
            if (heldMember.phase_ == MemberPhase::Prepared || heldMember.phase_ == MemberPhase::Running) {
                free -= heldMember.each_ * heldMember.tasks_;
            }
        }
        return free;
    }
};

class JobSimulation
{
public:
    JobSimulation(const Workload &workload, const SchedulerVariant &variant)
        : workload_(workload)
        , scheduler_(variant.limits_, variant.policy_, 1)
    {
        config_ = std::make_shared<const Config>(*Config::fromTree(workload.settings_));
        for (int i = 0; i < workload.workers_; ++i) {
            FakeWorker &worker = workers_.emplace_back();
            const std::string dataCentre = "dc" + std::to_string(i % workload.dataCentres_);
            worker.report_.name_ = std::to_string(i);
            worker.report_.incarnation_ = 1;
            worker.report_.dataCentre_ = DataCentreId(dataCentre);
            worker.report_.rack_ = RackId(dataCentre + "-" + std::to_string(i / workload.dataCentres_ / 3));
            worker.report_.capacity_ = workload.worker_;
        }
        for (const int faulty : workload.faultyWorkers_) {
            workers_[static_cast<std::size_t>(faulty)].faulty_ = true;
        }
    }

    JobResult run()
    {
        begin();
        while (!events_.empty() && now_ < start_ + workload_.length_ + drainLimit && (openJobs_ > 0 || now_ < start_ + workload_.length_)) {
            const Event next = events_.top();
            events_.pop();
            now_ = next.time_;
            next.action_();
        }
        finish();
        return std::move(result_);
    }

private:
    struct Event
    {
        Instant time_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.time_, left.order_) > std::tie(right.time_, right.order_);
        }
    };

    struct SimulatedJob
    {
        const PlannedJob *plan_ = nullptr;
        Duration remaining_{};
        Instant startedAt_{};
        bool running_ = false;
        std::uint32_t generation_ = 0;
        std::optional<Instant> firstStart_;
        bool ended_ = false;
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++order_, std::move(action)});
    }

    void begin()
    {
        now_ = start_;
        step(ControlChanged{config_, {1, {}, now_}});
        step(TakeOver{});
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            schedule(oneWayLatency, [this, i] { heartbeat(i); });
        }
        for (const PlannedJob &job : workload_.jobs_) {
            schedule(job.arrivalTime_, [this, &job] { arrive(job); });
        }
        for (const Outage &outage : workload_.outages_) {
            schedule(outage.from_, [this, outage] { setOut(outage.dataCentre_, true); });
            schedule(outage.until_, [this, outage] { setOut(outage.dataCentre_, false); });
        }
        schedule(100ms, [this] { tick(); });
        schedule(samplePeriod, [this] { sample(); });
        openJobs_
            = static_cast<std::size_t>(std::count_if(workload_.jobs_.begin(), workload_.jobs_.end(), [](const PlannedJob &job) { return !job.alwaysFails_; }));
    }

    void tick()
    {
        step(ControlChanged{config_, {1, dataCentresOut_, now_}});
        schedule(500ms, [this] { tick(); });
    }

    void setOut(const DataCentreId &dataCentre, bool out)
    {
        out ? (void)dataCentresOut_.insert(dataCentre) : (void)dataCentresOut_.erase(dataCentre);
        step(ControlChanged{config_, {1, dataCentresOut_, now_}});
    }

    void arrive(const PlannedJob &job)
    {
        if (!canEverFit(*config_, job.spec_)) {
            return; // refused on submission, with the reason
        }
        SimulatedJob &simulatedJob = simulatedJobs_[job.spec_.id_];
        simulatedJob.plan_ = &job;
        simulatedJob.remaining_ = job.runTime_;
        JobShard document;
        document.epoch_ = scheduler_.state().epoch_;
        document.ownerSequence_ = scheduler_.state().shards_[0].ownerSequence_;
        JobRecord record;
        record.spec_ = job.spec_;
        document.jobs_.emplace(job.spec_.id_, std::move(record));
        pendingReads_.push_back(std::move(document));
        deliverReads();
    }

    void deliverReads()
    {
        if (scheduler_.state().shards_[0].writeInFlight_) {
            return; // delivered after the current write has finished
        }
        for (JobShard &document : std::exchange(pendingReads_, {})) {
            document.epoch_ = scheduler_.state().epoch_;
            document.ownerSequence_ = scheduler_.state().shards_[0].ownerSequence_;
            if (scheduler_.state().shards_[0].writeInFlight_) {
                pendingReads_.push_back(std::move(document));
            } else {
                step(ShardRead{0, ++revision_, std::move(document)});
            }
        }
    }

    void step(const SchedulerInput &input)
    {
        ++result_.steps_;
        const WallTime wall(std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()));
        for (const SchedulerOutput &output : scheduler_.step(now_, wall, input)) {
            std::visit(Overloaded{
                           [&](const WriteShard &) {
                               ++result_.storeWrites_;
                               schedule(storeWriteTime, [this] {
                                   step(ShardWritten{0, ++revision_});
                                   deliverReads();
                               });
                           },
                           [&](const LoadShard &) { schedule(storeWriteTime, [this] {
                                                        step(ShardRead{0, ++revision_, JobShard()});
                                                    }); },
                           [&](const PushDirective &push) { schedule(oneWayLatency, [this, push] { applyDirective(push.worker_); }); },
                           [&](const JobChanged &changed) { recordEnd(changed); },
                           [&](const InvariantViolated &) { ++result_.invariantViolations_; },
                           [](const auto &) {},
                       },
                       output);
        }
    }

    // Workers

    void heartbeat(std::size_t index)
    {
        sendReport(index);
        schedule(reportPeriod(scheduler_.state()), [this, index] { heartbeat(index); });
    }

    void sendReport(std::size_t index)
    {
        FakeWorker &worker = workers_[index];
        ++worker.report_.sequence_;
        worker.report_.epoch_ = scheduler_.state().epoch_;
        worker.report_.members_.clear();
        for (const auto &[job, heldMember] : worker.heldMembers_) {
            worker.report_.members_.push_back({job, heldMember.generation_, heldMember.tasks_, heldMember.phase_});
        }
        worker.report_.digest_ = membersDigest(worker.report_.members_);
        step(WorkerReported{worker.report_});
        WorkerIndex workerIndex = 0;
        if (scheduler_.state().fleet_.find(WorkerId(worker.report_.name_), workerIndex)) {
            applyDirective(workerIndex);
        }
    }

    void reportSoon(std::size_t index)
    {
        if (!workers_[index].reportScheduled_) {
            workers_[index].reportScheduled_ = true;
            schedule(oneWayLatency, [this, index] {
                workers_[index].reportScheduled_ = false;
                sendReport(index);
            });
        }
    }

    void applyDirective(WorkerIndex worker)
    {
        const Directive directive = scheduler_.directive(worker, now_);
        const auto index = static_cast<std::size_t>(std::stoi(directive.agent_));
        for (const MemberOrder &order : directive.orders_) {
            applyOrder(index, order);
        }
    }

    void applyOrder(std::size_t index, const MemberOrder &order)
    {
        FakeWorker &worker = workers_[index];
        const auto heldMember = worker.heldMembers_.find(order.job_);
        if (order.action_ == MemberAction::Stop) {
            if (heldMember != worker.heldMembers_.end()) {
                stop(index, order);
            }
        } else if (heldMember == worker.heldMembers_.end() && order.action_ == MemberAction::Prepare) {
            worker.heldMembers_[order.job_] = {order.generation_, order.tasks_, order.each_, MemberPhase::Waiting, Instant()};
            prepare(index);
        } else if (order.action_ == MemberAction::Run && heldMember != worker.heldMembers_.end() && heldMember->second.phase_ == MemberPhase::Prepared) {
            heldMember->second.phase_ = MemberPhase::Running;
            reportSoon(index);
            started(order, worker.faulty_);
        }
    }

    void prepare(std::size_t index)
    {
        FakeWorker &worker = workers_[index];
        for (auto &[job, heldMember] : worker.heldMembers_) {
            if (heldMember.phase_ == MemberPhase::Waiting && worker.free().covers(heldMember.each_ * heldMember.tasks_)) {
                heldMember.phase_ = MemberPhase::Prepared;
                reportSoon(index);
            }
        }
    }

    void stop(std::size_t index, const MemberOrder &order)
    {
        const auto heldMember = workers_[index].heldMembers_.find(order.job_);
        if (heldMember->second.phase_ != MemberPhase::Running) {
            workers_[index].heldMembers_.erase(heldMember);
            prepare(index);
            reportSoon(index);
            return;
        }
        SimulatedJob &simulatedJob = simulatedJobs_.at(order.job_);
        if (simulatedJob.running_) {
            simulatedJob.running_ = false;
            simulatedJob.remaining_ = std::max<Duration>(simulatedJob.remaining_ - (now_ - simulatedJob.startedAt_), 1s) + restartCost;
        }
        schedule(checkpointTime, [this, index, order] {
            const auto current = workers_[index].heldMembers_.find(order.job_);
            if (current != workers_[index].heldMembers_.end() && current->second.generation_ == order.generation_) {
                workers_[index].heldMembers_.erase(current);
                prepare(index);
                reportSoon(index);
            }
        });
    }

    void started(const MemberOrder &order, bool faulty)
    {
        SimulatedJob &simulatedJob = simulatedJobs_.at(order.job_);
        if (simulatedJob.running_ && simulatedJob.generation_ == order.generation_) {
            if (faulty) {
                schedule(2s, [this, order] { end(order, MemberPhase::Failed); });
            }
            return;
        }
        simulatedJob.running_ = true;
        simulatedJob.generation_ = order.generation_;
        simulatedJob.startedAt_ = now_;
        if (!simulatedJob.firstStart_) {
            simulatedJob.firstStart_ = now_;
            recordStart(simulatedJob);
        }
        const bool fails = faulty || simulatedJob.plan_->alwaysFails_;
        schedule(fails ? Duration(2s) : simulatedJob.remaining_, [this, order, fails] { end(order, fails ? MemberPhase::Failed : MemberPhase::Finished); });
    }

    void end(const MemberOrder &order, MemberPhase phase)
    {
        SimulatedJob &simulatedJob = simulatedJobs_.at(order.job_);
        if (!simulatedJob.running_ || simulatedJob.generation_ != order.generation_) {
            return;
        }
        simulatedJob.running_ = false;
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            const auto heldMember = workers_[i].heldMembers_.find(order.job_);
            if (heldMember != workers_[i].heldMembers_.end() && heldMember->second.generation_ == order.generation_) {
                const bool failsHere = phase == MemberPhase::Failed && (workers_[i].faulty_ || simulatedJob.plan_->alwaysFails_);
                heldMember->second.phase_ = phase == MemberPhase::Finished ? MemberPhase::Finished : failsHere ? MemberPhase::Failed : MemberPhase::Running;
                prepare(i);
                reportSoon(i);
            }
        }
    }

    // Measurements

    [[nodiscard]] bool duringOutage() const
    {
        return std::any_of(workload_.outages_.begin(), workload_.outages_.end(), [this](const Outage &outage) {
            return now_ >= start_ + outage.from_ && now_ < start_ + outage.until_ + settlingTime;
        });
    }

    void recordStart(const SimulatedJob &simulatedJob)
    {
        const double waitedS = std::chrono::duration<double>(now_ - start_ - simulatedJob.plan_->arrivalTime_).count();
        if (simulatedJob.plan_->spec_.urgent_) {
            result_.urgentWaitsS_.push_back(waitedS);
        }
        const auto job = scheduler_.state().jobs_.find(simulatedJob.plan_->spec_.id_);
        if (simulatedJob.plan_->spec_.urgent_ && job != scheduler_.state().jobs_.end() && job->second.record_.tenure_ == Tenure::Guaranteed) {
            result_.guaranteedWaitsS_.push_back(waitedS);
        }
    }

    void recordEnd(const JobChanged &changed)
    {
        const auto found = simulatedJobs_.find(changed.job_);
        if (found == simulatedJobs_.end() || found->second.ended_ || (changed.state_ != JobState::Done && changed.state_ != JobState::Failed)) {
            return;
        }
        SimulatedJob &simulatedJob = found->second;
        simulatedJob.ended_ = true;
        if (simulatedJob.plan_->alwaysFails_) {
            return;
        }
        --openJobs_;
        const Duration elapsed = now_ - start_ - simulatedJob.plan_->arrivalTime_;
        if (changed.state_ == JobState::Failed) {
            ++result_.unfinishedJobs_;
            return;
        }
        result_.completionTimesS_.push_back(std::chrono::duration<double>(elapsed).count());
        if (simulatedJob.plan_->deadline_) {
            ++result_.jobsWithDeadline_;
            result_.missedDeadlines_ += now_ - start_ > *simulatedJob.plan_->deadline_ ? 1 : 0;
        }
    }

    void sample()
    {
        schedule(samplePeriod, [this] { sample(); });
        sampleFragmentation();
        if (duringOutage()) {
            sampleThroughput();
        }
    }

    /// Samples whether the oldest waiting multi-accelerator job fails to fit only because of fragmentation.
    void sampleFragmentation()
    {
        const SchedulerState &state = scheduler_.state();
        const TrackedJob *oldest = nullptr;
        for (const JobId &id : state.queued_) {
            const TrackedJob &job = state.jobs_.at(id);
            const bool large = job.record_.spec_.each_.accelerators_ * job.record_.spec_.tasks_ > 1;
            if (large && (!oldest || job.queuedAt_ < oldest->queuedAt_)) {
                oldest = &job;
            }
        }
        ++samples_;
        if (!oldest) {
            return;
        }
        const JobSpec &spec = oldest->record_.spec_;
        const bool enoughFree = state.fleet_.maxAcceleratorsInOneDataCentre(CapacityView::Free) >= spec.each_.accelerators_ * spec.tasks_;
        fragmentedSamples_
            += enoughFree && !findPlacement(state.fleet_, {spec.tasks_, spec.each_, spec.within_, CapacityView::Free}, TopologyAwareFit{}) ? 1 : 0;
    }

    /// Returns whether the gang would fit into one of the data centres in service if nothing else ran there.
    [[nodiscard]] bool fitsIfEmpty(const JobSpec &spec) const
    {
        std::map<DataCentreId, std::int32_t> fittingTasks;
        for (const FakeWorker &worker : workers_) {
            if (!worker.faulty_ && !dataCentresOut_.contains(worker.report_.dataCentre_)) {
                fittingTasks[worker.report_.dataCentre_] += worker.report_.capacity_.timesFits(spec.each_, spec.tasks_);
            }
        }
        return std::any_of(fittingTasks.begin(), fittingTasks.end(), [&spec](const auto &dataCentre) { return dataCentre.second >= spec.tasks_; });
    }

    /// Samples the accelerators in use, and those that are both in service and requested.
    void sampleThroughput()
    {
        const SchedulerState &state = scheduler_.state();
        double capacity = 0;
        double busy = 0;
        double requested = 0;
        for (const FakeWorker &worker : workers_) {
            capacity += worker.faulty_ || dataCentresOut_.contains(worker.report_.dataCentre_) ? 0 : worker.report_.capacity_.accelerators_;
            for (const auto &[job, heldMember] : worker.heldMembers_) {
                busy += heldMember.phase_ == MemberPhase::Running ? heldMember.each_.accelerators_ * heldMember.tasks_ : 0;
            }
        }
        for (const JobId &id : state.queued_) {
            const JobSpec &spec = state.jobs_.at(id).record_.spec_;
            requested += !fitsIfEmpty(spec) ? 0 : spec.each_.accelerators_ * spec.tasks_;
        }
        for (const JobId &id : state.live_) {
            const JobSpec &spec = state.jobs_.at(id).record_.spec_;
            requested += spec.each_.accelerators_ * spec.tasks_;
        }
        result_.acceleratorSecondsUsed_ += busy;
        result_.acceleratorSecondsUsable_ += std::min(capacity, requested);
    }

    void finish()
    {
        result_.unfinishedJobs_ += openJobs_;
        result_.fragmentedShare_ = samples_ > 0 ? static_cast<double>(fragmentedSamples_) / static_cast<double>(samples_) : 0;
    }

    const Workload &workload_;
    Scheduler scheduler_;
    std::shared_ptr<const Config> config_;
    std::vector<FakeWorker> workers_;
    std::map<JobId, SimulatedJob> simulatedJobs_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Instant start_{Duration(1h)};
    Instant now_{Duration(1h)};
    std::int64_t revision_ = 0;
    std::vector<JobShard> pendingReads_;
    std::set<DataCentreId> dataCentresOut_;
    std::size_t openJobs_ = 0;
    std::size_t samples_ = 0;
    std::size_t fragmentedSamples_ = 0;
    JobResult result_;
};

/// A job in the fluid model of the bound, which treats the fleet as one machine. Times in seconds, work in accelerator-seconds.
struct FluidJob
{
    double arrivalTime_;
    double work_;
};

/// Returns whether some interval has more work than the fleet can do in it, even without the \p excludedJobs largest jobs.
bool exceedsCapacity(const std::vector<FluidJob> &jobs, double completion, double accelerators, std::size_t excludedJobs)
{
    for (std::size_t from = 0; from < jobs.size(); from += 1 + jobs.size() / 60) {
        double work = 0;
        std::priority_queue<double, std::vector<double>, std::greater<>> largest;
        for (std::size_t i = from; i < jobs.size(); ++i) {
            work += jobs[i].work_;
            largest.push(jobs[i].work_);
            work -= jobs[i].work_;
            if (largest.size() > excludedJobs) {
                work += largest.top();
                largest.pop();
            }
            if (work > accelerators * (jobs[i].arrivalTime_ + completion - jobs[from].arrivalTime_)) {
                return true;
            }
        }
    }
    return false;
}

}

JobResult runJobs(const Workload &workload, const SchedulerVariant &variant)
{
    return JobSimulation(workload, variant).run();
}

double lowerBoundP95S(const Workload &workload)
{
    std::vector<FluidJob> jobs;
    std::vector<double> runTimes;
    for (const PlannedJob &job : workload.jobs_) {
        if (!job.alwaysFails_) {
            const double seconds = std::chrono::duration<double>(job.runTime_).count();
            jobs.push_back({std::chrono::duration<double>(job.arrivalTime_).count(), seconds * job.spec_.each_.accelerators_ * job.spec_.tasks_});
            runTimes.push_back(seconds);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const FluidJob &left, const FluidJob &right) { return left.arrivalTime_ < right.arrivalTime_; });
    std::sort(runTimes.begin(), runTimes.end());
    const std::size_t excludedJobs = jobs.size() / 20;
    double low = runTimes[runTimes.size() - 1 - excludedJobs];
    double high = low + 1'000'000;
    const double accelerators = static_cast<double>(workload.worker_.accelerators_) * (workload.workers_ - static_cast<int>(workload.faultyWorkers_.size()));
    while (high - low > 0.5) {
        const double middle = (low + high) / 2;
        (exceedsCapacity(jobs, middle, accelerators, excludedJobs) ? low : high) = middle;
    }
    return low;
}

}
