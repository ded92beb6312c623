#include "wire/validate.h"

#include "config/utf8.h"
#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr std::size_t maxName = 256;
constexpr std::int32_t maxAmount = 1'000'000'000;
constexpr std::int32_t maxTasks = 1'000'000;
constexpr Duration maxLength = 30 * 24h;
constexpr Instant maxInstant{Duration(std::int64_t{1} << 60)};

bool name(const std::string &text)
{
    return text.size() <= maxName && isUtf8(text);
}

template<class... Names>
bool names(const Names &...all)
{
    return (name(all) && ...);
}

bool within(std::int32_t value, std::int32_t most)
{
    return value >= 0 && value <= most;
}

bool amount(const Resources &resources)
{
    return within(resources.cores_, maxAmount) && within(resources.memoryMb_, maxAmount) && within(resources.accelerators_, maxAmount);
}

bool instant(Instant value)
{
    return value >= Instant() && value <= maxInstant;
}

bool length(Duration value)
{
    return value >= Duration::zero() && value <= maxLength;
}

template<class Enum>
bool known(Enum value, Enum last)
{
    return value <= last;
}

bool member(const MemberReport &report)
{
    return name(report.job_.str()) && within(report.tasks_, maxTasks) && known(report.phase_, MemberPhase::Failed);
}

bool order(const MemberOrder &wanted)
{
    return name(wanted.job_.str()) && within(wanted.tasks_, maxTasks) && amount(wanted.each_) && known(wanted.action_, MemberAction::Stop);
}

bool report(const AgentReport &message)
{
    return known(message.kind_, AgentKind::Executor) && !message.name_.empty()
        && names(message.name_, message.region_.str(), message.dataCentre_.str(), message.rack_.str(), message.service_.str()) && instant(message.sentAt_)
        && amount(message.capacity_) && within(message.slots_, maxTasks) && within(message.connections_, maxTasks)
        && std::all_of(message.members_.begin(), message.members_.end(), member)
        && (!message.membersIncluded_ || message.digest_ == membersDigest(message.members_));
}

bool directive(const Directive &message)
{
    return names(message.entry_.str(), message.agent_) && instant(message.echoSentAt_) && instant(message.sentAt_) && instant(message.permit_.readStartedAt_)
        && length(message.lease_) && length(message.period_) && std::all_of(message.orders_.begin(), message.orders_.end(), order);
}

}

bool isPlausible(const Message &message)
{
    return std::visit(Overloaded{
                          [](const AgentReport &any) { return report(any); },
                          [](const Directive &any) { return directive(any); },
                          [](const AttemptRequest &any) { return name(any.entry_.str()) && instant(any.sentAt_) && length(any.timeout_); },
                          [](const AttemptReply &any) { return known(any.outcome_, AttemptOutcome::Unknown) && within(any.status_, 999); },
                      },
                      message);
}

}
