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
    return batch::encodeAs(batch::Kind::ForwardedCall, call);
}

std::string encode(const platform::Answer &answer)
{
    return batch::encodeAs(batch::Kind::ForwardedAnswer, answer);
}

Result<platform::Call> decodeCall(std::string_view bytes)
{
    return batch::decodeAs<platform::Call>(batch::Kind::ForwardedCall, bytes);
}

Result<platform::Answer> decodeAnswer(std::string_view bytes)
{
    return batch::decodeAs<platform::Answer>(batch::Kind::ForwardedAnswer, bytes);
}

}
