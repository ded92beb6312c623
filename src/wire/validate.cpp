#include "wire/validate.h"

#include "config/utf8.h"
#include "core/overloaded.h"

#include <algorithm>

namespace bergamotwick {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr std::int32_t maxAmount = 1'000'000'000;
constexpr std::int32_t maxTasks = 1'000'000;
constexpr Duration maxDuration = 30 * 24h;
constexpr Instant maxInstant{Duration(std::int64_t{1} << 60)};

bool isValidName(const std::string &text)
{
    return text.size() <= maxNameBytes && isUtf8(text);
}

template<class... Names>
bool areValidNames(const Names &...all)
{
    return (isValidName(all) && ...);
}

bool isInRange(std::int32_t value, std::int32_t max)
{
    return value >= 0 && value <= max;
}

bool areValidResources(const Resources &resources)
{
    return isInRange(resources.cores_, maxAmount) && isInRange(resources.memoryMb_, maxAmount) && isInRange(resources.accelerators_, maxAmount);
}

bool isValidInstant(Instant value)
{
    return value >= Instant() && value <= maxInstant;
}

bool isValidDuration(Duration value)
{
    return value >= Duration::zero() && value <= maxDuration;
}

template<class Enum>
bool isKnownEnumerator(Enum value, Enum last)
{
    return value <= last;
}

bool isValidMember(const MemberReport &report)
{
    return isValidName(report.job_.str()) && isInRange(report.tasks_, maxTasks) && isKnownEnumerator(report.phase_, MemberPhase::Failed);
}

bool isValidOrder(const MemberOrder &order)
{
    return isValidName(order.job_.str()) && isInRange(order.tasks_, maxTasks) && areValidResources(order.each_)
        && isKnownEnumerator(order.action_, MemberAction::Stop);
}

bool isValidReport(const AgentReport &message)
{
    return isKnownEnumerator(message.kind_, AgentKind::Executor) && !message.name_.empty()
        && areValidNames(message.name_, message.region_.str(), message.dataCentre_.str(), message.rack_.str(), message.service_.str())
        && isValidInstant(message.sentAt_) && areValidResources(message.capacity_) && isInRange(message.slots_, maxTasks)
        && isInRange(message.connections_, maxTasks) && std::all_of(message.members_.begin(), message.members_.end(), isValidMember)
        && (!message.membersIncluded_ || message.digest_ == membersDigest(message.members_));
}

bool isValidDirective(const Directive &message)
{
    return areValidNames(message.entry_.str(), message.agent_) && isValidInstant(message.echoSentAt_) && isValidInstant(message.sentAt_)
        && isValidInstant(message.permit_.readStartedAt_) && isValidDuration(message.lease_) && isValidDuration(message.period_)
        && std::all_of(message.orders_.begin(), message.orders_.end(), isValidOrder);
}

}

bool hasValidValues(const Message &message)
{
    return std::visit(Overloaded{
                          [](const AgentReport &alternative) { return isValidReport(alternative); },
                          [](const Directive &alternative) { return isValidDirective(alternative); },
                          [](const AttemptRequest &alternative) {
                              return isValidName(alternative.entry_.str()) && isValidInstant(alternative.sentAt_) && isValidDuration(alternative.timeout_);
                          },
                          [](const AttemptReply &alternative) {
                              return isKnownEnumerator(alternative.outcome_, AttemptOutcome::Unknown) && isInRange(alternative.status_, 999);
                          },
                      },
                      message);
}

}
