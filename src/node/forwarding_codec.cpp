#include "forwarding_codec.h"

#include "core/batch/framing.h"

namespace bergamotwick::platform {

template<class Archive>
void serialize(Archive &archive, Call &call)
{
    archive(call.method_, call.host_, call.path_, call.key_, call.body_, call.timeout_);
}

template<class Archive>
void serialize(Archive &archive, Answer &answer)
{
    archive(answer.status_, answer.body_, answer.retryAfter_);
}

}

namespace bergamotwick::node {

std::string encode(const platform::Call &call)
{
    return batch::encodeAs<batch::PayloadKind::ForwardedCall>(call);
}

std::string encode(const platform::Answer &answer)
{
    return batch::encodeAs<batch::PayloadKind::ForwardedAnswer>(answer);
}

Result<platform::Call> decodeCall(std::string_view bytes)
{
    BOOST_LEAF_AUTO(call, (batch::decodeAs<batch::PayloadKind::ForwardedCall, platform::Call>(bytes)));
    if (call.method_ > platform::CallMethod::Cancel || call.timeout_ < std::chrono::milliseconds(0) || call.timeout_ > platform::maxCallTimeout) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return call;
}

Result<platform::Answer> decodeAnswer(std::string_view bytes)
{
    return batch::decodeAs<batch::PayloadKind::ForwardedAnswer, platform::Answer>(bytes);
}

}
