#pragma once

#include "core/batch/agent.h"

#include <cstdint>

/// Results of calls to executors, and the answers that the agent's shell makes of them; platform/executor_client.cpp has the same mapping.
namespace bergamotwick::model {

enum class CallResult : std::uint8_t {
    Ok,
    Conflict, ///< status 409: the executor doesn't carry out this call
    AlreadyEnded, ///< status 409 as well: the run or a later one of its task was stopped or has ended there
    Unavailable, ///< status 503: the executor has done nothing
    ConnectionRefused,
    NoAnswer,
};

inline batch::OrderAnswer toOrderAnswer(CallResult result)
{
    switch (result) {
    case CallResult::Ok:
        return batch::OrderAnswer::Accepted;
    case CallResult::AlreadyEnded:
        return batch::OrderAnswer::AlreadyEnded;
    case CallResult::NoAnswer:
        return batch::OrderAnswer::Unknown;
    case CallResult::Conflict:
    case CallResult::Unavailable:
    case CallResult::ConnectionRefused:
        break;
    }
    return batch::OrderAnswer::Refused;
}

inline batch::AgentInput toAgentInput(const batch::CallStart &call, CallResult result)
{
    const bool isRefused = result == CallResult::ConnectionRefused;
    return batch::StartAnswered{call.order_.run_, toOrderAnswer(result), "", isRefused, !isRefused, call.extension_};
}

inline batch::AgentInput toAgentInput(const batch::CallStop &call, CallResult result)
{
    return batch::StopAnswered{call.run_, toOrderAnswer(result), ""};
}

/// Precondition: \p result isn't CallResult::Ok.
inline batch::AgentInput toAgentInput(const batch::PollCall &call, CallResult result)
{
    const batch::CallFailure failure = result == CallResult::ConnectionRefused ? batch::CallFailure::NotSent
        : result == CallResult::NoAnswer                                       ? batch::CallFailure::Unanswered
                                                                               : batch::CallFailure::Rejected;
    return batch::PollFailed{
        result == CallResult::ConnectionRefused, result == CallResult::Conflict, call.fencingToken_, call.acknowledged_, failure, call.extension_};
}

}
