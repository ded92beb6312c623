#include "core/report/lateness.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace bergamotwick::report {

namespace {

/// Parses a timestamp such as "2026-01-03T14:35:21.056" into milliseconds since 1970-01-01. A time zone is ignored.
std::optional<milliseconds> parseTimestamp(std::string_view text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millisecond = 0;
    const std::string copy(text);
    constexpr int fields = 7;
    if (std::sscanf(copy.c_str(), "%d-%u-%uT%d:%d:%d.%d", &year, &month, &day, &hour, &minute, &second, &millisecond) != fields) {
        return std::nullopt;
    }
    const std::chrono::sys_days date = std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
    return std::chrono::duration_cast<milliseconds>(date.time_since_epoch()) + std::chrono::hours(hour) + std::chrono::minutes(minute)
        + std::chrono::seconds(second) + milliseconds(millisecond);
}

using Fields = std::map<std::string, std::string, std::less<>>;

/// Returns the key=value pairs of \p line; values may be quoted.
Fields parseFields(std::string_view line)
{
    Fields fields;
    std::size_t at = line.find("time=");
    while (at != std::string_view::npos && at < line.size()) {
        const std::size_t equals = line.find('=', at);
        if (equals == std::string_view::npos) {
            break;
        }
        const bool quoted = equals + 1 < line.size() && line[equals + 1] == '"';
        const std::size_t begin = equals + (quoted ? 2 : 1);
        const std::size_t end = std::min(line.find(quoted ? '"' : ' ', begin), line.size());
        fields.emplace(line.substr(at, equals - at), line.substr(begin, end - begin));
        at = line.find_first_not_of("\" ", end);
    }
    return fields;
}

std::string fieldText(const Fields &fields, std::string_view key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

/// An end reported so soon after a leader's election may have come long before.
constexpr milliseconds leaderStartSpan{2'000};

/// Returns the name of the step of the task named JOB.OCCURRENCE.STEP.INDEX.
std::string stepName(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

/// Returns occurrence and step of the task named JOB.OCCURRENCE.STEP.INDEX.
std::pair<int, int> stepOf(const std::string &task)
{
    std::pair<int, int> step{0, 0};
    (void)std::sscanf(task.c_str(), "%*[^.].%d.%d", &step.first, &step.second);
    return step;
}

template<class Number>
Number fieldNumber(const Fields &fields, std::string_view key)
{
    const std::string text = fieldText(fields, key);
    Number number{};
    std::from_chars(text.data(), text.data() + text.size(), number); // an unreadable field counts as absent
    return number;
}

}

const char *toString(LossCause cause) noexcept
{
    switch (cause) {
    case LossCause::BeforeStored:
        return "before-stored";
    case LossCause::UntilKnown:
        return "until-known";
    case LossCause::UntilStarted:
        return "until-started";
    case LossCause::UntilShown:
        return "until-shown";
    case LossCause::WaitedForCapacity:
        return "waited-for-room";
    case LossCause::WaitedForPreemption:
        return "waited-for-stops";
    case LossCause::LostWithHost:
        return "lost-with-host";
    case LossCause::Stopped:
        return "stopped";
    case LossCause::WaitedToRetry:
        return "waited-to-retry";
    case LossCause::SlowMember:
        return "slow-member";
    case LossCause::AwayFromRack:
        return "away-from-rack";
    case LossCause::Slow:
        break;
    }
    return "slow";
}

void LatenessReport::addLine(std::string_view line)
{
    const Fields fields = parseFields(line);
    const auto time = parseTimestamp(fieldText(fields, "time"));
    if (time) {
        addEvent(*time, fields);
    }
}

void LatenessReport::addEvent(milliseconds time, const Fields &fields)
{
    if (fields.contains("run")) {
        addRunEvent(time, fields);
        return;
    }
    const std::string event = fieldText(fields, "event");
    if (event == "job-stored" || event == "job-not-stored" || event == "job-refused") {
        addCall(time, fields);
        return;
    }
    if (event == "leader-won") {
        addLeader(time);
        return;
    }
    if (event == "executor-seen" && fields.contains("agent")) {
        hosts_[fieldText(fields, "executor")] = fieldText(fields, "agent");
        return;
    }
    const std::string job = fieldText(fields, "job");
    if (event == "job-known") {
        addKnown(timelines_[job], time, fields);
        return;
    }
    const auto found = timelines_.find(job);
    if (found == timelines_.end()) {
        return;
    }
    JobTimeline &timeline = found->second;
    if (event == "assigned" || event == "job-ended") {
        lastDecision_ = time;
    }
    const bool completes = fieldText(fields, "state") == "completed";
    if (event == "room-cleared" && fieldNumber<std::int64_t>(fields, "victims") > 0) {
        timeline.preemptedOthers_ = true;
    } else if (event == "assigned") {
        addAssignment(timeline, time, fields);
    } else if (event == "job-ended" && completes && !timeline.completed_) {
        timeline.completed_ = time;
        ++completed_;
    } else if (event == "end-shown" && completes && !timeline.shown_) {
        timeline.shown_ = time;
    } else if (event == "cancel-stored") {
        timeline.owed_ = false;
    }
}

void LatenessReport::addAssignment(JobTimeline &timeline, milliseconds time, const Fields &fields)
{
    Assignment assignment{time, "," + fieldText(fields, "places") + ","};
    if (fields.contains("rack_slowdown")) {
        assignment.rackSlowdown_ = std::max(fieldNumber<double>(fields, "rack_slowdown"), 1.0);
    }
    assignment.restored_ = fieldText(fields, "restored") == "yes";
    timeline.assigned_[fieldText(fields, "step")].push_back(std::move(assignment));
}

LatenessReport::Assignment LatenessReport::assignmentOf(const JobTimeline &timeline, const std::string &task, const Run &run, const std::string &executor)
{
    const auto step = timeline.assigned_.find(std::to_string(stepOf(task).second));
    if (step == timeline.assigned_.end()) {
        return {};
    }
    const auto assignment = std::find_if(step->second.rbegin(), step->second.rend(), [&](const Assignment &candidate) {
        return candidate.time_ <= run.started_ && candidate.places_.find("," + executor + ",") != std::string::npos;
    });
    return assignment == step->second.rend() ? Assignment() : *assignment;
}

void LatenessReport::addLeader(milliseconds time)
{
    leaderlessSince_ = lastDecision_;
    leaderSince_ = time;
}

void LatenessReport::addCall(milliseconds time, const Fields &fields)
{
    JobTimeline &timeline = timelines_[fieldText(fields, "job")];
    const milliseconds received = time - milliseconds(fieldNumber<std::int64_t>(fields, "took_ms"));
    timeline.requested_ = std::min(timeline.requested_.value_or(received), received);
}

void LatenessReport::addKnown(JobTimeline &timeline, milliseconds time, const Fields &fields)
{
    if (timeline.known_) {
        return; // a later leader has read it
    }
    timeline.known_ = true;
    timeline.workspace_ = fieldText(fields, "workspace");
    timeline.priority_ = fieldNumber<std::int32_t>(fields, "priority");
    timeline.stretch_ = fieldNumber<double>(fields, "stretch");
    timeline.target_ = milliseconds(fieldNumber<std::int64_t>(fields, "target_ms"));
    timeline.gang_ = fieldText(fields, "gang") == "yes";
    timeline.owed_ = timeline.owed_ && fieldText(fields, "long_running") != "yes" && fieldNumber<std::int64_t>(fields, "repeats") == 0;
    timeline.knownAt_ = time;
    timeline.accepted_ = time - milliseconds(fieldNumber<std::int64_t>(fields, "age_ms"));
}

void LatenessReport::addRunEvent(milliseconds time, const Fields &fields)
{
    const std::string name = fieldText(fields, "run"); // JOB.OCCURRENCE.STEP.INDEX/RUN
    const std::size_t slash = name.find('/');
    const auto timeline = timelines_.find(name.substr(0, name.find('.')));
    if (slash == std::string::npos || timeline == timelines_.end()) {
        return;
    }
    std::uint32_t number = 0;
    std::from_chars(name.data() + slash + 1, name.data() + name.size(), number);
    const std::string event = fieldText(fields, "event");
    auto &runs = timeline->second.runs_[name.substr(0, slash)];
    if (event == "started") {
        runs.try_emplace(number).first->second.started_ = time;
        return;
    }
    const auto run = runs.find(number);
    if (run == runs.end() || !run->second.outcome_.empty()) {
        return;
    }
    if (event == "run-ended" || event == "run-settled") {
        const Assignment assignment = assignmentOf(timeline->second, name, run->second, fieldText(fields, "executor"));
        const bool endsACompletedJob = timeline->second.completed_.value_or(milliseconds(0)) > run->second.started_; // a further member of its gang
        addEnd(run->second, assignment, endsACompletedJob ? *timeline->second.completed_ : time, fields);
        lastDecision_ = time;
    }
}

void LatenessReport::addEnd(Run &run, const Assignment &assignment, milliseconds time, const Fields &fields) const
{
    const std::string executor = fieldText(fields, "executor");
    const auto host = hosts_.find(executor);
    run.host_ = host == hosts_.end() ? executor : host->second;
    run.outcome_ = fieldText(fields, "event") == "run-ended" ? fieldText(fields, "how") : "settled";
    run.rackSlowdown_ = assignment.rackSlowdown_;
    if (assignment.restored_ && run.started_ >= leaderSince_) { // a later leader first lists it in the middle of its work
        run.restoredPercent_ = fieldNumber<std::int32_t>(fields, "initial_percent");
    }
    run.ended_ = time;
    run.worked_ = time - run.started_;
    if (run.started_ < leaderSince_ && time < leaderSince_ + leaderStartSpan) {
        run.worked_ = (std::max(leaderlessSince_ - run.started_, milliseconds(0)) + run.worked_) / 2;
    }
}

HostFit LatenessReport::fitHosts() const
{
    HostFit fit;
    for (const auto &[id, timeline] : timelines_) {
        if (timeline.gang_) {
            continue;
        }
        for (const auto &[task, runs] : timeline.runs_) {
            for (const auto &[number, run] : runs) {
                if (run.outcome_ == "done" && run.rackSlowdown_ <= 1 && shareOfWork(runs, run) >= 1) {
                    fit.addRun(stepName(task), run.host_, run.worked_);
                }
            }
        }
    }
    fit.solve();
    return fit;
}

std::string LatenessReport::slowestHostOf(const JobTimeline &timeline, const std::string &step, std::uint32_t number, const Run &run, const HostFit &fit)
{
    std::string slowest = run.host_;
    if (!timeline.gang_) {
        return slowest;
    }
    for (const auto &[task, runs] : timeline.runs_) {
        const auto member = runs.find(number);
        if (member != runs.end() && stepName(task) == step && fit.slowness(member->second.host_) > fit.slowness(slowest)) {
            slowest = member->second.host_;
        }
    }
    return slowest;
}

double LatenessReport::shareOfWork(const Runs &runs, const Run &run)
{
    constexpr std::int32_t maxRestoredPercent = 90; // nearer to the end, the share is too inexact to divide by
    const bool isRestored = std::any_of(
        runs.begin(), runs.end(), [&run](const auto &entry) { return entry.second.outcome_ == "stopped" && entry.second.started_ < run.started_; });
    return isRestored ? 1 - std::clamp(run.restoredPercent_, 0, maxRestoredPercent) / 100.0 : 1;
}

LatenessReport::ChainTime LatenessReport::taskTime(const JobTimeline &timeline, const std::string &task, const Runs &runs, const HostFit &fit)
{
    ChainTime time;
    for (const auto &[number, run] : runs) {
        if (run.outcome_ != "done" && run.outcome_ != "failed") {
            continue;
        }
        const std::string host = slowestHostOf(timeline, stepName(task), number, run, fit);
        const auto nearData = std::chrono::duration_cast<milliseconds>(run.worked_ / run.rackSlowdown_);
        const auto sound = std::chrono::duration_cast<milliseconds>(nearData / fit.slowness(host));
        time.sound_ += std::chrono::duration_cast<milliseconds>(sound / shareOfWork(runs, run));
        time.lost_ += nearData - sound;
        time.lostToRack_ += run.worked_ - nearData;
        time.slowestHost_ = host;
        if (run.outcome_ == "done") {
            break; // a later run did the work again, since this end wasn't stored
        }
    }
    time.mostLost_ = time.lost_;
    return time;
}

LatenessReport::ChainTime LatenessReport::chainOf(const JobTimeline &timeline, const HostFit &fit)
{
    std::map<std::string, milliseconds> soundByStep;
    std::map<std::string, ChainTime> longestByStep;
    for (const auto &[task, runs] : timeline.runs_) {
        const ChainTime time = taskTime(timeline, task, runs, fit);
        milliseconds &sound = soundByStep[stepName(task)];
        sound = std::max(sound, time.sound_);
        ChainTime &longest = longestByStep[stepName(task)];
        if (time.whole() > longest.whole()) {
            longest = time;
        }
    }
    ChainTime chain;
    for (const auto &[step, time] : longestByStep) {
        const milliseconds lost = time.sound_ + time.lost_ - soundByStep[step];
        chain.sound_ += soundByStep[step];
        chain.lost_ += lost;
        chain.lostToRack_ += time.lostToRack_;
        if (lost > chain.mostLost_) {
            chain.mostLost_ = lost;
            chain.slowestHost_ = time.slowestHost_;
        }
    }
    return chain;
}

milliseconds LatenessReport::objectiveOf(const JobTimeline &timeline, const ChainTime &chain)
{
    return std::chrono::duration_cast<milliseconds>(chain.sound_ * timeline.stretch_) + timeline.target_;
}

milliseconds LatenessReport::readyTime(const JobTimeline &timeline, const std::string &task)
{
    milliseconds ready = timeline.accepted_;
    for (const auto &[other, runs] : timeline.runs_) {
        if (!runs.empty() && stepOf(other) < stepOf(task)) {
            ready = std::max(ready, runs.rbegin()->second.ended_);
        }
    }
    return ready;
}

void LatenessReport::addWaitForStart(LostTime &lost, const JobTimeline &timeline, const std::string &task, milliseconds started)
{
    const milliseconds ready = readyTime(timeline, task);
    const milliseconds known = std::clamp(timeline.knownAt_, ready, std::max(ready, started));
    milliseconds assigned = started;
    if (const auto found = timeline.assigned_.find(std::to_string(stepOf(task).second)); found != timeline.assigned_.end()) {
        const auto later = std::upper_bound(
            found->second.begin(), found->second.end(), started, [](milliseconds time, const Assignment &assignment) { return time < assignment.time_; });
        assigned = later == found->second.begin() ? started : std::max(std::prev(later)->time_, known);
    }
    lost[LossCause::UntilKnown] += known - ready;
    lost[timeline.preemptedOthers_ ? LossCause::WaitedForPreemption : LossCause::WaitedForCapacity] += assigned - known;
    lost[LossCause::UntilStarted] += started - assigned;
}

LatenessReport::LostTime LatenessReport::lostTimeOf(const JobTimeline &timeline)
{
    const auto lastEnd = [](const auto &entry) { return entry.second.empty() ? milliseconds(0) : entry.second.rbegin()->second.ended_; };
    const auto last = std::max_element(
        timeline.runs_.begin(), timeline.runs_.end(), [&lastEnd](const auto &left, const auto &right) { return lastEnd(left) < lastEnd(right); });
    LostTime lost;
    if (last == timeline.runs_.end() || last->second.empty()) {
        return lost;
    }
    lost[LossCause::BeforeStored] = timeline.accepted_ - timeline.begin();
    std::optional<milliseconds> before;
    for (const auto &[number, run] : last->second) {
        if (before) {
            lost[LossCause::WaitedToRetry] += run.started_ - *before;
        } else {
            addWaitForStart(lost, timeline, last->first, run.started_);
        }
        if (run.outcome_ == "settled" || run.outcome_ == "lapsed") {
            lost[LossCause::LostWithHost] += run.ended_ - run.started_;
        } else if (run.outcome_ != "done" && run.outcome_ != "failed") {
            lost[LossCause::Stopped] += run.ended_ - run.started_;
        }
        before = run.ended_;
    }
    const Run &lastRun = last->second.rbegin()->second;
    lost[LossCause::UntilShown] = timeline.end() - lastRun.started_ - lastRun.worked_;
    return lost;
}

LateJob LatenessReport::describe(const std::string &id, const JobTimeline &timeline, const ChainTime &chain, const HostFit &fit)
{
    /// Shorter delays are ordinary message latency.
    constexpr milliseconds minReportedLoss{100};
    LateJob job;
    job.job_ = id;
    job.workspace_ = timeline.workspace_;
    job.priority_ = timeline.priority_;
    job.turnaround_ = timeline.end() - timeline.begin();
    job.objective_ = objectiveOf(timeline, chain);
    job.shown_ = timeline.shown_.has_value();
    job.lostTime_ = lostTimeOf(timeline);
    if (chain.mostLost_ >= minReportedLoss) {
        job.lostTime_[LossCause::SlowMember] = chain.lost_;
        job.slowestHost_ = chain.slowestHost_;
        job.slowness_ = fit.slowness(chain.slowestHost_);
    }
    if (chain.lostToRack_ >= minReportedLoss) {
        job.lostTime_[LossCause::AwayFromRack] = chain.lostToRack_;
    }
    const auto largest
        = std::max_element(job.lostTime_.begin(), job.lostTime_.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    if (largest != job.lostTime_.end() && largest->second >= minReportedLoss) {
        job.cause_ = largest->first;
    }
    return job;
}

std::vector<LateJob> LatenessReport::lateJobs() const
{
    const HostFit fit = fitHosts();
    std::vector<LateJob> late;
    for (const auto &[id, timeline] : timelines_) {
        if (!timeline.known_ || !timeline.owed_ || !timeline.completed_ || timeline.runs_.empty()) {
            continue;
        }
        const ChainTime chain = chainOf(timeline, fit);
        if (timeline.end() - timeline.begin() > objectiveOf(timeline, chain)) {
            late.push_back(describe(id, timeline, chain, fit));
        }
    }
    return late;
}

}
