#include "core/report/lateness.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace bergamotwick::report {

namespace {

/// Reads "2026-01-03T14:35:21.056": milliseconds since the beginning of its year 1970, as calendars count.
std::optional<milliseconds> timeOf(std::string_view text)
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

/// Returns the key=value pairs of \p line; values may be quoted.
std::map<std::string, std::string, std::less<>> fieldsOf(std::string_view line)
{
    std::map<std::string, std::string, std::less<>> fields;
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

std::string textOf(const std::map<std::string, std::string, std::less<>> &fields, std::string_view key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

template<class Number>
Number numberOf(const std::map<std::string, std::string, std::less<>> &fields, std::string_view key)
{
    const std::string text = textOf(fields, key);
    Number number{};
    std::from_chars(text.data(), text.data() + text.size(), number); // a field that can't be read counts as absent
    return number;
}

}

const char *toString(LossCause cause) noexcept
{
    switch (cause) {
    case LossCause::WaitedForRoom:
        return "waited-for-room";
    case LossCause::WaitedForStops:
        return "waited-for-stops";
    case LossCause::LostWithHost:
        return "lost-with-host";
    case LossCause::Stopped:
        return "stopped";
    case LossCause::WaitedToRetry:
        return "waited-to-retry";
    case LossCause::Slow:
        break;
    }
    return "slow";
}

void LatenessReport::take(std::string_view line)
{
    const Fields fields = fieldsOf(line);
    const auto time = timeOf(textOf(fields, "time"));
    if (time) {
        takeEvent(*time, fields);
    }
}

void LatenessReport::takeEvent(milliseconds time, const Fields &fields)
{
    if (fields.contains("run")) {
        takeRunEvent(time, fields);
        return;
    }
    const std::string event = textOf(fields, "event");
    const std::string job = textOf(fields, "job");
    if (event == "job-known" && !stories_.contains(job)) {
        Story &story = stories_[job];
        story.workspace_ = textOf(fields, "workspace");
        story.priority_ = numberOf<std::int32_t>(fields, "priority");
        story.stretch_ = numberOf<double>(fields, "stretch");
        story.target_ = milliseconds(numberOf<std::int64_t>(fields, "target_ms"));
        story.accepted_ = time - milliseconds(numberOf<std::int64_t>(fields, "age_ms"));
        return;
    }
    const auto found = stories_.find(job);
    if (found == stories_.end()) {
        return;
    }
    if (event == "room-cleared" && numberOf<std::int64_t>(fields, "victims") > 0) {
        found->second.cleared_ = true;
    } else if (event == "job-ended" && textOf(fields, "state") == "completed" && found->second.completed_ == milliseconds(0)) {
        found->second.completed_ = time;
        ++completed_;
    }
}

void LatenessReport::takeRunEvent(milliseconds time, const Fields &fields)
{
    const std::string name = textOf(fields, "run"); // JOB.OCCURRENCE.STEP.INDEX/RUN
    const std::size_t slash = name.find('/');
    const auto story = stories_.find(name.substr(0, name.find('.')));
    if (slash == std::string::npos || story == stories_.end()) {
        return;
    }
    std::uint32_t number = 0;
    std::from_chars(name.data() + slash + 1, name.data() + name.size(), number);
    const std::string event = textOf(fields, "event");
    auto &runs = story->second.runs_[name.substr(0, slash)];
    if (event == "started") {
        runs.try_emplace(number, Run{time, milliseconds(0), ""});
        return;
    }
    const auto run = runs.find(number);
    if (run == runs.end() || !run->second.how_.empty()) {
        return;
    }
    if (event == "run-ended" || event == "run-settled") {
        run->second.ended_ = time;
        run->second.how_ = event == "run-ended" ? textOf(fields, "how") : "settled";
    }
}

milliseconds LatenessReport::workOf(const std::map<std::uint32_t, Run> &runs)
{
    milliseconds work(0);
    for (const auto &[number, run] : runs) {
        if (run.how_ == "done" || run.how_ == "failed") {
            work += run.ended_ - run.started_;
        }
    }
    return work;
}

std::map<LossCause, milliseconds> LatenessReport::lossesOf(const Story &story)
{
    const std::map<std::uint32_t, Run> *last = nullptr;
    for (const auto &[task, runs] : story.runs_) {
        if (!runs.empty() && (last == nullptr || runs.rbegin()->second.ended_ > last->rbegin()->second.ended_)) {
            last = &runs;
        }
    }
    std::map<LossCause, milliseconds> lost;
    if (last == nullptr) {
        return lost;
    }
    milliseconds before = story.accepted_;
    for (const auto &[number, run] : *last) {
        const bool first = number == last->begin()->first;
        const LossCause wait = !first ? LossCause::WaitedToRetry : story.cleared_ ? LossCause::WaitedForStops : LossCause::WaitedForRoom;
        lost[wait] += run.started_ - before;
        if (run.how_ == "settled" || run.how_ == "lapsed") {
            lost[LossCause::LostWithHost] += run.ended_ - run.started_;
        } else if (run.how_ != "done" && run.how_ != "failed") {
            lost[LossCause::Stopped] += run.ended_ - run.started_;
        }
        before = run.ended_;
    }
    return lost;
}

std::vector<LateJob> LatenessReport::lateJobs() const
{
    /// A wait this short is what an order takes to arrive.
    constexpr milliseconds worthNaming{100};
    std::vector<LateJob> late;
    for (const auto &[id, story] : stories_) {
        if (story.completed_ == milliseconds(0) || story.runs_.empty()) {
            continue;
        }
        std::map<std::string, milliseconds> longest; // by step: the tasks of one run side by side
        for (const auto &[task, runs] : story.runs_) {
            milliseconds &step = longest[task.substr(0, task.rfind('.'))];
            step = std::max(step, workOf(runs));
        }
        milliseconds chain(0);
        for (const auto &[step, work] : longest) {
            chain += work;
        }
        LateJob job{id, story.workspace_, story.priority_, story.completed_ - story.accepted_, milliseconds(0), lossesOf(story), LossCause::Slow};
        job.objective_ = std::chrono::duration_cast<milliseconds>(chain * story.stretch_) + story.target_;
        if (job.took_ <= job.objective_) {
            continue;
        }
        const auto largest
            = std::max_element(job.lost_.begin(), job.lost_.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        if (largest != job.lost_.end() && largest->second >= worthNaming) {
            job.cause_ = largest->first;
        }
        late.push_back(std::move(job));
    }
    return late;
}

}
