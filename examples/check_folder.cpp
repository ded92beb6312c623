// Reads a configuration folder and prints each setting with its source, or the first error with its location.

#include <bergamotwick/bergamotwick.h>

#include <iostream>

int main(int argc, char **argv)
{
    namespace leaf = boost::leaf;
    using namespace bergamotwick;

    return leaf::try_handle_all(
        [&]() -> Result<int> {
            BERGAMOTWICK_TRY(tree, SettingsTree::readFolder(argc > 1 ? argv[1] : "."));
            BERGAMOTWICK_TRY(config, Config::fromTree(tree));
            for (const auto &[path, setting] : tree.all()) {
                std::cout << path << " = " << setting.value_ << "  (" << setting.source_.str() << ")\n";
            }
            std::cout << config.workspaces_.size() << " workspaces, " << config.services_.size() << " services\n";
            return 0;
        },
        [](const ConfigError &error) {
            std::cerr << error.str() << '\n';
            return 2;
        },
        [] { return 1; });
}
