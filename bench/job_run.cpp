#include "job_run.h"

#include "core/overloaded.h"
#include "core/scheduling/contacts.h"
#include "core/scheduling/queue.h"

#include <algorithm>
#include <cmath>
#include <queue>

namespace bergamotwick::bench {

namespace {

constexpr Duration writeTime = 5ms;
constexpr Duration oneWay = 500us;
constexpr Duration checkpointTime = 500ms;
constexpr Duration restartCost = 5s; ///< lost by a task that is stopped and started again
constexpr Duration sampleEvery = 5s;
constexpr Duration drainLimit = 12h;
constexpr Duration settling = 5min; ///< after a data centre's return

/// A worker and its agent, as far as the scheduler can see them.
struct FakeWorker
{
    struct Held
    {
        std::uint32_t generation_ = 0;
        std::int32_t tasks_ = 0;
        Resources each_;
        MemberPhase phase_ = MemberPhase::Waiting;
        Instant startedAt_{};
    };

    AgentReport report_;
    std::map<JobId, Held> held_;
    bool bad_ = false;
    bool reportDue_ = false;

    [[nodiscard]] Resources free() const
    {
        Resources free = report_.capacity_;
        for (const auto &[job, held] : held_) {
            if (held.phase_ == MemberPhase::Prepared || held.phase_ == MemberPhase::Running) {
                free -= held.each_ * held.tasks_;
            }
        }
        return free;
    }
};

class Run
{
public:
    Run(const Workload &workload, const Contender &contender)
        : workload_(workload)
        , scheduler_(contender.limits_, contender.policy_, 1)
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
        for (const int bad : workload.badWorkers_) {
            workers_[static_cast<std::size_t>(bad)].bad_ = true;
        }
    }

    JobResult run()
    {
        begin();
        while (!events_.empty() && now_ < start_ + workload_.length_ + drainLimit && (open_ > 0 || now_ < start_ + workload_.length_)) {
            const Event next = events_.top();
            events_.pop();
            now_ = next.at_;
            next.run_();
        }
        finish();
        return std::move(result_);
    }

private:
    struct Event
    {
        Instant at_;
        std::uint64_t order_ = 0;
        std::function<void()> run_;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at_, left.order_) > std::tie(right.at_, right.order_);
        }
    };

    struct Tracked
    {
        const PlannedJob *plan_ = nullptr;
        Duration left_{};
        Instant startedAt_{};
        bool running_ = false;
        std::uint32_t generation_ = 0;
        std::optional<Instant> firstStart_;
        bool ended_ = false;
    };

    void at(Duration after, std::function<void()> run)
    {
        events_.push({now_ + after, ++order_, std::move(run)});
    }

    void begin()
    {
        now_ = start_;
        step(ControlChanged{config_, {1, {}, now_}});
        step(TakeOver{});
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            at(oneWay, [this, i] { heartbeat(i); });
        }
        for (const PlannedJob &job : workload_.jobs_) {
            at(job.arrives_, [this, &job] { arrive(job); });
        }
        for (const Outage &outage : workload_.outages_) {
            at(outage.from_, [this, outage] { setOut(outage.dataCentre_, true); });
            at(outage.until_, [this, outage] { setOut(outage.dataCentre_, false); });
        }
        at(100ms, [this] { tick(); });
        at(sampleEvery, [this] { sample(); });
        open_ = static_cast<std::size_t>(std::count_if(workload_.jobs_.begin(), workload_.jobs_.end(), [](const PlannedJob &job) { return !job.poison_; }));
    }

    void tick()
    {
        step(ControlChanged{config_, {1, out_, now_}});
        at(500ms, [this] { tick(); });
    }

    void setOut(const DataCentreId &dataCentre, bool out)
    {
        out ? (void)out_.insert(dataCentre) : (void)out_.erase(dataCentre);
        step(ControlChanged{config_, {1, out_, now_}});
    }

    void arrive(const PlannedJob &job)
    {
        if (!canEverFit(*config_, job.spec_)) {
            return; // refused at the door, with why
        }
        Tracked &tracked = tracked_[job.spec_.id_];
        tracked.plan_ = &job;
        tracked.left_ = job.runTime_;
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
            return; // the document is seen again once the write under way has ended
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
                               at(writeTime, [this] {
                                   step(ShardWritten{0, ++revision_});
                                   deliverReads();
                               });
                           },
                           [&](const LoadShard &) { at(writeTime, [this] {
                                                        step(ShardRead{0, ++revision_, JobShard()});
                                                    }); },
                           [&](const PushDirective &push) { at(oneWay, [this, push] { direct(push.worker_); }); },
                           [&](const JobChanged &changed) { note(changed); },
                           [&](const InvariantViolated &) { ++result_.invariantsBroken_; },
                           [](const auto &) {},
                       },
                       output);
        }
    }

    // Workers

    void heartbeat(std::size_t index)
    {
        sendReport(index);
        at(reportPeriod(scheduler_.state()), [this, index] { heartbeat(index); });
    }

    void sendReport(std::size_t index)
    {
        FakeWorker &worker = workers_[index];
        ++worker.report_.sequence_;
        worker.report_.epoch_ = scheduler_.state().epoch_;
        worker.report_.members_.clear();
        for (const auto &[job, held] : worker.held_) {
            worker.report_.members_.push_back({job, held.generation_, held.tasks_, held.phase_});
        }
        worker.report_.digest_ = membersDigest(worker.report_.members_);
        step(WorkerReported{worker.report_});
        WorkerIndex at = 0;
        if (scheduler_.state().fleet_.find(WorkerId(worker.report_.name_), at)) {
            direct(at);
        }
    }

    void reportSoon(std::size_t index)
    {
        if (!workers_[index].reportDue_) {
            workers_[index].reportDue_ = true;
            at(oneWay, [this, index] {
                workers_[index].reportDue_ = false;
                sendReport(index);
            });
        }
    }

    void direct(WorkerIndex worker)
    {
        const Directive directive = scheduler_.directive(worker, now_);
        const auto index = static_cast<std::size_t>(std::stoi(directive.agent_));
        for (const MemberOrder &order : directive.orders_) {
            follow(index, order);
        }
    }

    void follow(std::size_t index, const MemberOrder &order)
    {
        FakeWorker &worker = workers_[index];
        const auto held = worker.held_.find(order.job_);
        if (order.action_ == MemberAction::Stop) {
            if (held != worker.held_.end()) {
                stop(index, order);
            }
        } else if (held == worker.held_.end() && order.action_ == MemberAction::Prepare) {
            worker.held_[order.job_] = {order.generation_, order.tasks_, order.each_, MemberPhase::Waiting, Instant()};
            prepare(index);
        } else if (order.action_ == MemberAction::Run && held != worker.held_.end() && held->second.phase_ == MemberPhase::Prepared) {
            held->second.phase_ = MemberPhase::Running;
            reportSoon(index);
            started(order, worker.bad_);
        }
    }

    void prepare(std::size_t index)
    {
        FakeWorker &worker = workers_[index];
        for (auto &[job, held] : worker.held_) {
            if (held.phase_ == MemberPhase::Waiting && worker.free().covers(held.each_ * held.tasks_)) {
                held.phase_ = MemberPhase::Prepared;
                reportSoon(index);
            }
        }
    }

    void stop(std::size_t index, const MemberOrder &order)
    {
        const auto held = workers_[index].held_.find(order.job_);
        if (held->second.phase_ != MemberPhase::Running) {
            workers_[index].held_.erase(held);
            prepare(index);
            reportSoon(index);
            return;
        }
        Tracked &tracked = tracked_.at(order.job_);
        if (tracked.running_) {
            tracked.running_ = false;
            tracked.left_ = std::max<Duration>(tracked.left_ - (now_ - tracked.startedAt_), 1s) + restartCost;
        }
        at(checkpointTime, [this, index, order] {
            const auto there = workers_[index].held_.find(order.job_);
            if (there != workers_[index].held_.end() && there->second.generation_ == order.generation_) {
                workers_[index].held_.erase(there);
                prepare(index);
                reportSoon(index);
            }
        });
    }

    void started(const MemberOrder &order, bool bad)
    {
        Tracked &tracked = tracked_.at(order.job_);
        if (tracked.running_ && tracked.generation_ == order.generation_) {
            if (bad) {
                at(2s, [this, order] { end(order, MemberPhase::Failed); });
            }
            return;
        }
        tracked.running_ = true;
        tracked.generation_ = order.generation_;
        tracked.startedAt_ = now_;
        if (!tracked.firstStart_) {
            tracked.firstStart_ = now_;
            noteStart(tracked);
        }
        const bool fails = bad || tracked.plan_->poison_;
        at(fails ? Duration(2s) : tracked.left_, [this, order, fails] { end(order, fails ? MemberPhase::Failed : MemberPhase::Finished); });
    }

    void end(const MemberOrder &order, MemberPhase phase)
    {
        Tracked &tracked = tracked_.at(order.job_);
        if (!tracked.running_ || tracked.generation_ != order.generation_) {
            return;
        }
        tracked.running_ = false;
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            const auto held = workers_[i].held_.find(order.job_);
            if (held != workers_[i].held_.end() && held->second.generation_ == order.generation_) {
                const bool failsHere = phase == MemberPhase::Failed && (workers_[i].bad_ || tracked.plan_->poison_);
                held->second.phase_ = phase == MemberPhase::Finished ? MemberPhase::Finished : failsHere ? MemberPhase::Failed : MemberPhase::Running;
                prepare(i);
                reportSoon(i);
            }
        }
    }

    // Measures

    [[nodiscard]] bool disturbed() const
    {
        return std::any_of(workload_.outages_.begin(), workload_.outages_.end(), [this](const Outage &outage) {
            return now_ >= start_ + outage.from_ && now_ < start_ + outage.until_ + settling;
        });
    }

    void noteStart(const Tracked &tracked)
    {
        const double waited = std::chrono::duration<double>(now_ - start_ - tracked.plan_->arrives_).count();
        if (tracked.plan_->spec_.urgent_) {
            result_.urgentStartS_.push_back(waited);
        }
        const auto job = scheduler_.state().jobs_.find(tracked.plan_->spec_.id_);
        if (tracked.plan_->spec_.urgent_ && job != scheduler_.state().jobs_.end() && job->second.record_.tenure_ == Tenure::Guaranteed) {
            result_.reclaimS_.push_back(waited);
        }
    }

    void note(const JobChanged &changed)
    {
        const auto found = tracked_.find(changed.job_);
        if (found == tracked_.end() || found->second.ended_ || (changed.state_ != JobState::Done && changed.state_ != JobState::Failed)) {
            return;
        }
        Tracked &tracked = found->second;
        tracked.ended_ = true;
        if (tracked.plan_->poison_) {
            return;
        }
        --open_;
        const Duration took = now_ - start_ - tracked.plan_->arrives_;
        if (changed.state_ == JobState::Failed) {
            ++result_.unfinished_;
            return;
        }
        result_.completionS_.push_back(std::chrono::duration<double>(took).count());
        if (tracked.plan_->due_) {
            ++result_.due_;
            result_.late_ += now_ - start_ > *tracked.plan_->due_ ? 1 : 0;
        }
    }

    void sample()
    {
        at(sampleEvery, [this] { sample(); });
        sampleFragments();
        if (disturbed()) {
            sampleThroughput();
        }
    }

    /// The oldest waiting multi-accelerator job stands for the waiting shapes.
    void sampleFragments()
    {
        const SchedulerState &board = scheduler_.state();
        const TrackedJob *oldest = nullptr;
        for (const JobId &id : board.queued_) {
            const TrackedJob &job = board.jobs_.at(id);
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
        const bool enough = board.fleet_.maxAcceleratorsInOneDataCentre(CapacityView::Free) >= spec.each_.accelerators_ * spec.tasks_;
        scattered_ += enough && !findPlacement(board.fleet_, {spec.tasks_, spec.each_, spec.within_, CapacityView::Free}, TopologyAwareFit{}) ? 1 : 0;
    }

    /// Whether the gang would fit if nothing else ran in the data centres that are left.
    [[nodiscard]] bool couldFit(const JobSpec &spec) const
    {
        std::map<DataCentreId, std::int32_t> room;
        for (const FakeWorker &worker : workers_) {
            if (!worker.bad_ && !out_.contains(worker.report_.dataCentre_)) {
                room[worker.report_.dataCentre_] += worker.report_.capacity_.timesFits(spec.each_, spec.tasks_);
            }
        }
        return std::any_of(room.begin(), room.end(), [&spec](const auto &dataCentre) { return dataCentre.second >= spec.tasks_; });
    }

    /// Accelerators at work, against those that are in service and asked for.
    void sampleThroughput()
    {
        const SchedulerState &board = scheduler_.state();
        double capacity = 0;
        double busy = 0;
        double asked = 0;
        for (const FakeWorker &worker : workers_) {
            capacity += worker.bad_ || out_.contains(worker.report_.dataCentre_) ? 0 : worker.report_.capacity_.accelerators_;
            for (const auto &[job, held] : worker.held_) {
                busy += held.phase_ == MemberPhase::Running ? held.each_.accelerators_ * held.tasks_ : 0;
            }
        }
        for (const JobId &id : board.queued_) {
            const JobSpec &spec = board.jobs_.at(id).record_.spec_;
            asked += !couldFit(spec) ? 0 : spec.each_.accelerators_ * spec.tasks_;
        }
        for (const JobId &id : board.live_) {
            const JobSpec &spec = board.jobs_.at(id).record_.spec_;
            asked += spec.each_.accelerators_ * spec.tasks_;
        }
        result_.acceleratorSecondsDone_ += busy;
        result_.acceleratorSecondsOffered_ += std::min(capacity, asked);
    }

    void finish()
    {
        result_.unfinished_ += open_;
        result_.scatteredShare_ = samples_ > 0 ? static_cast<double>(scattered_) / static_cast<double>(samples_) : 0;
    }

    const Workload &workload_;
    Scheduler scheduler_;
    std::shared_ptr<const Config> config_;
    std::vector<FakeWorker> workers_;
    std::map<JobId, Tracked> tracked_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Instant start_{Duration(1h)};
    Instant now_{Duration(1h)};
    std::int64_t revision_ = 0;
    std::vector<JobShard> pendingReads_;
    std::set<DataCentreId> out_;
    std::size_t open_ = 0;
    std::size_t samples_ = 0;
    std::size_t scattered_ = 0;
    JobResult result_;
};

/// One job as the bound sees it: work on a machine as wide as the whole fleet.
struct FluidJob
{
    double arrives_;
    double work_;
};

/// Whether some interval has more work than the fleet could do in it, even with \p dropped of its jobs left out.
bool overfull(const std::vector<FluidJob> &jobs, double completion, double width, std::size_t dropped)
{
    for (std::size_t from = 0; from < jobs.size(); from += 1 + jobs.size() / 60) {
        double work = 0;
        std::priority_queue<double, std::vector<double>, std::greater<>> largest;
        for (std::size_t i = from; i < jobs.size(); ++i) {
            work += jobs[i].work_;
            largest.push(jobs[i].work_);
            work -= jobs[i].work_;
            if (largest.size() > dropped) {
                work += largest.top();
                largest.pop();
            }
            if (work > width * (jobs[i].arrives_ + completion - jobs[from].arrives_)) {
                return true;
            }
        }
    }
    return false;
}

}

JobResult runJobs(const Workload &workload, const Contender &contender)
{
    return Run(workload, contender).run();
}

double boundP95(const Workload &workload)
{
    std::vector<FluidJob> jobs;
    std::vector<double> runTimes;
    for (const PlannedJob &job : workload.jobs_) {
        if (!job.poison_) {
            const double seconds = std::chrono::duration<double>(job.runTime_).count();
            jobs.push_back({std::chrono::duration<double>(job.arrives_).count(), seconds * job.spec_.each_.accelerators_ * job.spec_.tasks_});
            runTimes.push_back(seconds);
        }
    }
    std::sort(jobs.begin(), jobs.end(), [](const FluidJob &left, const FluidJob &right) { return left.arrives_ < right.arrives_; });
    std::sort(runTimes.begin(), runTimes.end());
    const std::size_t dropped = jobs.size() / 20;
    double low = runTimes[runTimes.size() - 1 - dropped];
    double high = low + 1'000'000;
    const double width = static_cast<double>(workload.worker_.accelerators_) * (workload.workers_ - static_cast<int>(workload.badWorkers_.size()));
    while (high - low > 0.5) {
        const double middle = (low + high) / 2;
        (overfull(jobs, middle, width, dropped) ? low : high) = middle;
    }
    return low;
}

}
