// Measures for docs/CAPACITY.md: run time and memory of the scheduler and sizes of its messages and documents, from a
// hundred workers to the target size.

#include "core/scheduling/contacts.h"
#include "core/scheduling/scheduler.h"
#include "wire/codec.h"

#include <chrono>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <random>

namespace {

using namespace bergamotwick;

constexpr int dataCentres = 4;
constexpr int tasksPerWorker = 18; // 48,000 tasks on 2,600 workers
constexpr std::size_t shards = 4;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

double elapsedUs(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
}

/// A region with running gangs, and simulated agents that carry out directives at once.
class Region
{
public:
    explicit Region(int workers)
        : scheduler_(SchedulerLimits(), TopologyAwareFit{}, shards)
        , reports_(static_cast<std::size_t>(workers))
    {
        SettingsTree tree;
        (void)tree.merge("capacity.yaml", "workspaces:\n  team: {quota: {cores: 1000000}}\n");
        step(ControlChanged{std::make_shared<const Config>(*Config::fromTree(tree)), {1, {}, now_}});
        step(TakeOver{});
        for (int i = 0; i < workers; ++i) {
            AgentReport &report = reports_[static_cast<std::size_t>(i)];
            report.name_ = std::to_string(i);
            report.incarnation_ = 1;
            report.dataCentre_ = DataCentreId("dc" + std::to_string(i % dataCentres));
            report.rack_ = RackId("rack" + std::to_string(i / dataCentres / 3 * dataCentres + i % dataCentres));
            report.capacity_ = {64, 256'000, i % 8 == 0 ? 8 : i % 8 == 1 ? 1 : 0};
            sendFullReport(report);
        }
    }

    void submitGangs(int tasks)
    {
        std::mt19937_64 random(7);
        while (tasks > 0) {
            const int gang = std::min(tasks, 1 << (random() % 9)); // up to 256
            submit(gang, {2, 4'000, 0});
            runUntilIdle();
            tasks -= gang;
        }
    }

    void submit(int tasks, const Resources &each)
    {
        JobSpec spec;
        spec.id_ = JobId("job-" + std::to_string(++jobs_));
        spec.workspace_ = WorkspaceId("team");
        spec.tasks_ = tasks;
        spec.each_ = each;
        spec.payload_ = "registry/image:tag --with some --arguments";
        const std::size_t shard = static_cast<std::size_t>(jobs_) % shards;
        JobShard document;
        document.epoch_ = scheduler_.state().epoch_;
        document.ownerSequence_ = scheduler_.state().shards_[shard].ownerSequence_;
        JobRecord record;
        record.spec_ = spec;
        document.jobs_.emplace(spec.id_, std::move(record));
        step(ShardRead{shard, ++revision_, std::move(document)});
    }

    /// Completes pending writes and carries out pushed directives until none are left.
    void runUntilIdle()
    {
        while (!pendingWrites_.empty() || !pendingPushes_.empty()) {
            for (const std::size_t shard : std::exchange(pendingWrites_, {})) {
                step(ShardWritten{shard, ++revision_});
            }
            for (const WorkerIndex worker : std::exchange(pendingPushes_, {})) {
                applyDirective(worker);
            }
        }
    }

    void heartbeat(std::size_t worker)
    {
        AgentReport &report = reports_[worker];
        ++report.sequence_;
        report.membersIncluded_ = false;
        step(WorkerReported{report});
        lastDirective_ = scheduler_.directive(static_cast<WorkerIndex>(worker), now_);
    }

    void advanceTime(Duration length)
    {
        now_ += length;
    }

    void tick()
    {
        step(SchedulerTick{});
    }

    [[nodiscard]] const Scheduler &scheduler() const
    {
        return scheduler_;
    }

    [[nodiscard]] std::size_t workers() const
    {
        return reports_.size();
    }

    [[nodiscard]] std::size_t reportBytes(std::size_t worker) const
    {
        AgentReport report = reports_[worker];
        report.members_.clear();
        report.membersIncluded_ = false;
        return encodeMessage(report).size();
    }

    [[nodiscard]] std::size_t directiveBytes() const
    {
        return encodeMessage(lastDirective_).size();
    }

    [[nodiscard]] std::size_t largestDocumentBytes() const
    {
        return largestDocumentBytes_;
    }

private:
    void step(const SchedulerInput &input)
    {
        for (const SchedulerOutput &output : scheduler_.step(now_, WallTime(1s), input)) {
            if (const auto *write = std::get_if<WriteShard>(&output)) {
                largestDocumentBytes_ = std::max(largestDocumentBytes_, write->text_.size());
                pendingWrites_.push_back(write->shard_);
                if (scheduler_.state().stage_ != OwnerStage::Active) {
                    completeWrites();
                }
            } else if (const auto *load = std::get_if<LoadShard>(&output)) {
                step(ShardRead{load->shard_, ++revision_, JobShard()});
            } else if (const auto *push = std::get_if<PushDirective>(&output)) {
                pendingPushes_.insert(push->worker_);
            }
        }
    }

    void completeWrites()
    {
        for (const std::size_t shard : std::exchange(pendingWrites_, {})) {
            step(ShardWritten{shard, ++revision_});
        }
    }

    void sendFullReport(AgentReport &report)
    {
        ++report.sequence_;
        report.epoch_ = scheduler_.state().epoch_;
        report.membersIncluded_ = true;
        report.digest_ = membersDigest(report.members_);
        step(WorkerReported{report});
    }

    void applyDirective(WorkerIndex worker)
    {
        const Directive directive = scheduler_.directive(worker, now_);
        AgentReport &report = reports_[worker];
        for (const MemberOrder &order : directive.orders_) {
            std::erase_if(report.members_, [&order](const MemberReport &member) { return member.job_ == order.job_; });
            if (order.action_ != MemberAction::Stop) {
                const MemberPhase phase = order.action_ == MemberAction::Run ? MemberPhase::Running : MemberPhase::Prepared;
                report.members_.push_back({order.job_, order.generation_, order.tasks_, phase});
            }
        }
        sendFullReport(report);
    }

    Scheduler scheduler_;
    std::vector<AgentReport> reports_;
    Instant now_{Duration(1h)};
    std::int64_t revision_ = 0;
    int jobs_ = 0;
    std::vector<std::size_t> pendingWrites_;
    std::set<WorkerIndex> pendingPushes_;
    std::size_t largestDocumentBytes_ = 0;
    Directive lastDirective_;
};

void measure(int workers)
{
    const std::size_t before = heapBytes();
    Region region(workers);
    const std::size_t empty = heapBytes() - before;
    const int tasks = workers * tasksPerWorker;
    auto begin = std::chrono::steady_clock::now();
    region.submitGangs(tasks);
    const double fillUs = elapsedUs(begin);
    const std::size_t full = heapBytes() - before;

    constexpr int searches = 2'000;
    begin = std::chrono::steady_clock::now();
    int found = 0;
    for (int i = 0; i < searches; ++i) {
        const PlacementRequest request{i % 8 + 1, {2, 4'000, i % 3}, Adjacency::DataCentre, CapacityView::Free, nullptr};
        found += findPlacement(region.scheduler().state().fleet_, request, TopologyAwareFit{}) ? 1 : 0;
    }
    const double searchUs = elapsedUs(begin) / searches;

    constexpr int placements = 200;
    double placeUs = 0;
    double worstUs = 0;
    for (int i = 0; i < placements; ++i) {
        begin = std::chrono::steady_clock::now();
        region.submit(i % 4 + 1, {2, 4'000, i % 2});
        const double elapsed = elapsedUs(begin);
        placeUs += elapsed;
        worstUs = std::max(worstUs, elapsed);
        region.runUntilIdle();
    }
    begin = std::chrono::steady_clock::now();
    for (std::size_t worker = 0; worker < region.workers(); ++worker) {
        region.heartbeat(worker);
    }
    const double heartbeatUs = elapsedUs(begin) / static_cast<double>(workers);
    region.advanceTime(600ms);
    begin = std::chrono::steady_clock::now();
    region.tick();
    const double tickUs = elapsedUs(begin);
    std::cout << std::setw(8) << workers << std::setw(8) << tasks << std::setw(8) << region.scheduler().state().live_.size() << std::fixed
              << std::setprecision(1) << std::setw(10) << static_cast<double>(empty) / workers << std::setw(10) << static_cast<double>(full - empty) / tasks
              << std::setw(10) << static_cast<double>(full) / 1e6 << std::setw(11) << fillUs / 1e3 << std::setw(11) << searchUs << (found > 0 ? " " : "!")
              << std::setw(11) << placeUs / placements << std::setw(9) << worstUs << std::setw(12) << heartbeatUs << std::setw(10) << tickUs << std::setw(9)
              << region.reportBytes(0) << std::setw(10) << region.directiveBytes() << std::setw(12) << region.largestDocumentBytes() << '\n';
}

}

int main()
{
    std::cout << "one region; times in microseconds unless named, sizes in bytes\n"
              << " workers   tasks    gangs  B/worker    B/task  heap MB    fill ms  search us    place us    worst  heartbeat us  sweep us  report  directive "
                 " document\n";
    for (const int workers : {100, 325, 650, 1'300, 2'600}) {
        measure(workers);
    }
}
